package proxy

import (
	"strconv"
	"testing"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

// Guards against all calls of an account without a session getting the same
// version, which lets the share of a new version depend on a few accounts.
func TestCallsWithoutSessionFollowTheShares(t *testing.T) {
	shares := []object.Share{{Version: "old", Percent: 95}, {Version: "new", Percent: 5}}
	count := func(session string) int {
		fresh := 0
		for i := range 2000 {
			call := AppCall{Caller: Caller{Account: "a"}, RequestID: strconv.Itoa(i), Session: session}
			if routing.VersionFor(shares, routing.SessionHash(versionSession(call))) == "new" {
				fresh++
			}
		}
		return fresh
	}
	if n := count(""); n < 60 || n > 140 {
		t.Errorf("%d of 2000 calls without a session, want about 100", n)
	}
	if n := count("s"); n != 0 && n != 2000 {
		t.Errorf("%d of 2000 calls of one session were split", n)
	}
}
