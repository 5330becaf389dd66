package proxy

import (
	"strconv"
	"testing"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

// Guards against all calls without a session of one account getting the same
// version, so that the traffic of a new version depends on a few accounts.
func TestCallsWithoutSessionFollowTheShares(t *testing.T) {
	shares := []object.Share{{Version: "old", Percent: 95}, {Version: "new", Percent: 5}}
	count := func(session string) int {
		onNew := 0
		for i := range 2000 {
			call := AppCall{Caller: Caller{Account: "a"}, RequestID: strconv.Itoa(i), Session: session}
			if routing.VersionFor(shares, routing.SessionHash(versionSessionKey(call))) == "new" {
				onNew++
			}
		}
		return onNew
	}
	if n := count(""); n < 60 || n > 140 {
		t.Errorf("%d of 2000 calls without a session, want about 100", n)
	}
	if n := count("s"); n != 0 && n != 2000 {
		t.Errorf("%d of 2000 calls of one session were split", n)
	}
}
