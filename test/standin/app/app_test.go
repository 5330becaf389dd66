package app_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/app"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/fault"
)

func start(t *testing.T, options app.Options) *app.Server {
	t.Helper()
	s := app.New(options)
	NewWithT(t).Expect(s.Start("127.0.0.1:0")).To(Succeed())
	t.Cleanup(s.Close)
	return s
}

func order(s *app.Server, key string) (*http.Response, app.Result, error) {
	var result app.Result
	request, _ := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/payouts", bytes.NewBufferString(`{"amount":1}`))
	request.Header.Set("Idempotency-Key", key)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, result, err
	}
	defer func() { _ = response.Body.Close() }()
	return response, result, json.NewDecoder(response.Body).Decode(&result)
}

// Guards against counts that miss an execution whose response was lost, or that
// include a request that failed or was refused before its execution.
func TestExecutionsAreCountedPerKey(t *testing.T) {
	g := NewWithT(t)
	s := start(t, app.Options{ServiceTime: time.Millisecond})
	_, result, err := order(s, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Execution).To(Equal(1))
	s.Faults().Put(fault.Faults{LoseRate: 1})
	_, _, err = order(s, "a")
	g.Expect(err).To(HaveOccurred())
	s.Faults().Put(fault.Faults{CutRate: 1})
	_, _, err = order(s, "b")
	g.Expect(err).To(HaveOccurred())
	s.Faults().Put(fault.Faults{FailRate: 1})
	response, _, err := order(s, "c")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(500))
	s.Faults().Put(fault.Faults{})
	s.Leave(time.Hour)
	response, _, err = order(s, "d")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(503))
	g.Expect(response.Header.Get(fault.HeaderRefused)).To(Equal(fault.RefusedLeaving))
	g.Expect(s.Stats().Executions).To(Equal(map[string]int{"a": 2, "b": 1}))
}

// Guards against late, repeated and crossed responses that are configured but
// not sent on a reused connection.
func TestRepliesOnReusedConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults fault.Faults
		want   []string
	}{
		{"none", fault.Faults{}, []string{"1", "2", "3"}},
		{"late", fault.Faults{LateRate: 1}, []string{"1", "1", "2"}},
		{"repeated", fault.Faults{RepeatRate: 1}, []string{"1", "1", "2"}},
		{"crossed", fault.Faults{CrossRate: 1}, []string{"other", "1", "2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := start(t, app.Options{ServiceTime: time.Millisecond})
			request := func(conn net.Conn, id string) {
				_, err := fmt.Fprintf(conn, "GET /stock/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\n\r\n", id)
				g.Expect(err).NotTo(HaveOccurred())
			}
			read := func(reader *bufio.Reader) string {
				response, err := http.ReadResponse(reader, nil)
				g.Expect(err).NotTo(HaveOccurred())
				_, err = io.Copy(io.Discard, response.Body)
				g.Expect(err).NotTo(HaveOccurred())
				return response.Header.Get(fault.HeaderRequestID)
			}
			var conns [2]net.Conn
			for i := range conns {
				conn, err := net.Dial("tcp", s.Address())
				g.Expect(err).NotTo(HaveOccurred())
				defer func() { _ = conn.Close() }()
				conns[i] = conn
			}
			request(conns[0], "other")
			g.Expect(read(bufio.NewReader(conns[0]))).To(Equal("other"))
			s.Faults().Put(c.faults)
			reader := bufio.NewReader(conns[1])
			var got []string
			for _, id := range []string{"1", "2", "3"} {
				request(conns[1], id)
				got = append(got, read(reader))
			}
			g.Expect(got).To(Equal(c.want))
		})
	}
}

// Guards against idle connections that stay open, and against busy ones that
// are closed.
func TestCloseIdle(t *testing.T) {
	g := NewWithT(t)
	s := start(t, app.Options{ServiceTime: 100 * time.Millisecond})
	s.Faults().Put(fault.Faults{CloseIdleMillis: 10})
	client := &http.Client{Transport: &http.Transport{}}
	response, err := client.Get("http://" + s.Address() + "/stock/x")
	g.Expect(err).NotTo(HaveOccurred())
	var stock app.Stock
	g.Expect(json.NewDecoder(response.Body).Decode(&stock)).To(Succeed())
	g.Expect(stock.Count).To(Equal(app.StockOf("x")))
	conn, err := net.Dial("tcp", s.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	g.Expect(conn.SetReadDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}
