package proxy

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Guards against a panic or an error other than BadRequest on invalid input, and
// against an upstream body that is not JSON.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hello"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"max_tokens":3}`))
	f.Add([]byte(`{"model":1,"messages":{}}`))
	f.Add([]byte(`{"model":"m","messages":[{}],"n":2}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, err := parseChat(body)
		if err != nil {
			if e := result.From(err); e.Code != result.BadRequest || e.Execution != result.NotRun {
				t.Fatalf("unexpected error %v", err)
			}
			return
		}
		upstream, err := chat.upstreamBody("model", 0, "emitted", 1)
		if err != nil || !json.Valid(upstream) {
			t.Fatalf("upstream body %q: %v", upstream, err)
		}
	})
}

// Guards against a continuation on another upstream that repeats emitted text or
// exceeds the caller's token limit.
func TestUpstreamBodyContinuesAfterEmittedText(t *testing.T) {
	g := NewWithT(t)
	chat, err := parseChat([]byte(`{"model":"m","max_tokens":10,"temperature":0.5,"messages":[{"role":"user","content":"q"}]}`))
	g.Expect(err).NotTo(HaveOccurred())
	body, err := chat.upstreamBody("served", 3, "so far", 4)
	g.Expect(err).NotTo(HaveOccurred())
	var got map[string]any
	g.Expect(json.Unmarshal(body, &got)).To(Succeed())
	g.Expect(got).To(HaveKeyWithValue("model", "served"))
	g.Expect(got).To(HaveKeyWithValue("max_tokens", 6.0))
	g.Expect(got).To(HaveKeyWithValue("temperature", 0.5))
	g.Expect(got).To(HaveKeyWithValue("continue_final_message", true))
	g.Expect(got).To(HaveKeyWithValue("add_generation_prompt", false))
	messages := got["messages"].([]any)
	g.Expect(messages).To(HaveLen(2))
	g.Expect(messages[1]).To(Equal(map[string]any{"role": "assistant", "content": "so far"}))
}

// Guards against different completion IDs in the chunks of one response.
func TestWithID(t *testing.T) {
	g := NewWithT(t)
	g.Expect(string(withID([]byte(`{"id":"chatcmpl-attempt","x":1}`), "r1"))).To(Equal(`{"id":"chatcmpl-r1","x":1}`))
	g.Expect(string(withID([]byte(`{"x":1}`), "r1"))).To(Equal(`{"x":1}`))
}
