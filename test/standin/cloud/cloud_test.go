package cloud_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/cloud"
)

func start(t *testing.T, options cloud.Options) *cloud.Server {
	t.Helper()
	s := cloud.New(options)
	NewWithT(t).Expect(s.Start("127.0.0.1:0")).To(Succeed())
	t.Cleanup(s.Close)
	return s
}

func names(list []cloud.Instance) []string {
	result := []string{}
	for _, instance := range list {
		result = append(result, instance.Name+":"+string(instance.State))
	}
	return result
}

func get(g Gomega, s *cloud.Server, path string, body any) int {
	response, err := http.Get("http://" + s.Address() + path)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	if body != nil {
		g.Expect(json.NewDecoder(response.Body).Decode(body)).To(Succeed())
	}
	return response.StatusCode
}

// Guards against a list that shows a reclaim without lag, a notice that a
// waiting long poll misses, and a reclaim that spares a reclaimable instance
// of the data centre or stops another instance.
func TestReclaimOfDataCentre(t *testing.T) {
	g := NewWithT(t)
	stopped := make(chan string, 3)
	s := start(t, cloud.Options{
		ListLag: 150 * time.Millisecond,
		OnStart: func(i cloud.Instance) (string, error) { return i.Name + ".address", nil },
		OnStop:  func(i cloud.Instance) { stopped <- i.Name },
	})
	for _, i := range []cloud.Instance{
		{Name: "a", Class: "m", DataCentre: "dc1", Reclaimable: true},
		{Name: "b", Class: "m", DataCentre: "dc1"},
		{Name: "c", Class: "m", DataCentre: "dc2", Reclaimable: true},
		{Name: "a", Class: "m", DataCentre: "dc1", Reclaimable: true},
	} {
		_, err := s.StartInstance(i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(s.Stats().Starts).To(Equal(3), "a start by name is idempotent")
	g.Expect(s.List()).To(BeEmpty())
	g.Eventually(func() []string { return names(s.List()) }).Should(Equal([]string{"a:running", "b:running", "c:running"}))
	var reply struct {
		Notices []cloud.Notice
		Next    uint64
	}
	time.AfterFunc(50*time.Millisecond, func() { s.Reclaim("", "dc1", false, 300*time.Millisecond) })
	get(g, s, "/v1/notices?after=0&wait_ms=5000", &reply)
	g.Expect(reply.Notices).To(HaveLen(1))
	g.Expect(reply.Notices[0].Instance).To(Equal("a"))
	g.Expect(names(s.List())).To(ContainElement("a:running"))
	g.Eventually(func() []string { return names(s.List()) }).Should(ContainElement("a:leaving"))
	g.Eventually(stopped).Should(Receive(Equal("a")))
	g.Eventually(func() []string { return names(s.List()) }).Should(Equal([]string{"b:running", "c:running"}))
}

// Guards against starts beyond the capacity and weight downloads beyond the
// rate limit.
func TestRefusals(t *testing.T) {
	g := NewWithT(t)
	s := start(t, cloud.Options{
		Offers:      []cloud.Offer{{Class: "m", DataCentre: "dc1", OnDemandPrice: 3, ReclaimablePrice: 1, Capacity: 1}},
		WeightBytes: 100_000, WeightGetsPerSecond: 1, WeightBytesPerSecond: 500_000,
	})
	i, err := s.StartInstance(cloud.Instance{Name: "a", Class: "m", DataCentre: "dc1", Reclaimable: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(i.PricePerHour).To(Equal(1.0))
	_, err = s.StartInstance(cloud.Instance{Name: "b", Class: "m", DataCentre: "dc1"})
	g.Expect(err).To(MatchError(cloud.ErrRefused))
	begin := time.Now()
	response, err := http.Get("http://" + s.Address() + "/v1/weights/model/v1")
	g.Expect(err).NotTo(HaveOccurred())
	weights, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(weights).To(HaveLen(100_000))
	g.Expect(string(weights[99_936:])).To(Equal(string(weights[:64])), "the pattern is not broken between reads")
	g.Expect(time.Since(begin)).To(BeNumerically(">", 100*time.Millisecond))
	g.Expect(get(g, s, "/v1/weights/model/v1", nil)).To(Equal(http.StatusTooManyRequests))
}
