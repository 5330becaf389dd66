package rollout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

// Guards against a roll-out that begins anew after a restore of the store, since its record
// holds the time limit in milliseconds and the order a fraction of them more or less.
func TestOrderIsThatOfItsRecordAcrossARestore(t *testing.T) {
	order := Order{Service: "s", Target: "v2", Within: 32300*time.Millisecond - time.Nanosecond, Revision: store.InGeneration(2, 7)}
	recorded := record{Service: "s", Target: "v2", WithinMs: order.Within.Milliseconds(), Revision: store.InGeneration(1, 5)}
	NewWithT(t).Expect(order.same(recorded.order())).To(BeTrue())
}
