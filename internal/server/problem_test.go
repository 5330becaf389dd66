package server

import (
	"encoding/json"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Guards against the execution state "not run" for an order that was executed
// through another daemon. A daemon without a configuration reported it when it
// refused the retry of such an order as unauthenticated.
func TestRefusalBeforeTheLedgerIsUnknownForOrders(t *testing.T) {
	decided := result.New(result.OrderFrozen, result.NotRun, "frozen")
	decided.CoversAllAttempts = true
	early := result.New(result.Unauthenticated, result.NotRun, "no key")
	for _, c := range []struct {
		key  string
		err  *result.Error
		want result.Execution
	}{
		{"", early, result.NotRun},
		{"token.part", early, result.Unknown},
		{"token.part", decided, result.NotRun},
		{"token.part", result.New(result.OrderOutcomeUnknown, result.Unknown, "lost"), result.Unknown},
	} {
		g := NewWithT(t)
		ctx := app.NewContext(0)
		if c.key != "" {
			ctx.Request.Header.Set(headerOrderKey, c.key)
		}
		writeProblem(ctx, c.err)
		var p Problem
		g.Expect(json.Unmarshal(ctx.Response.Body(), &p)).To(Succeed())
		g.Expect(p.Execution).To(Equal(c.want), "key %q, code %d", c.key, c.err.Code)
	}
}
