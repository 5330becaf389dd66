package engine

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// KV is the exported KV cache of a request: the hashes of its blocks
// represent the data.
type KV struct {
	Request string   `json:"request"`
	Salt    string   `json:"salt"` // model and version, in hex
	Tokens  int      `json:"tokens"`
	Emitted int      `json:"emitted"` // output tokens among them
	Blocks  []string `json:"blocks"`
	// Tail is the hash of the partial last block in hex; empty if there is none.
	Tail       string `json:"tail,omitempty"`
	TailTokens int    `json:"tail_tokens,omitempty"`
	Payload    string `json:"payload,omitempty"`
}

// newKV describes the tokens that a sequence has computed so far.
func newKV(seq *sequence) *KV {
	kv := &KV{Request: seq.request, Salt: hexHash(seq.salt), Blocks: []string{}}
	if !seq.admitted || seq.prefill > 0 {
		return kv
	}
	kv.Tokens, kv.Emitted = seq.chain.tokens(), seq.pos
	for _, hash := range seq.chain.blocks {
		kv.Blocks = append(kv.Blocks, hexHash(hash))
	}
	if len(seq.chain.tail) > 0 {
		kv.Tail, kv.TailTokens = hexHash(hashTail(seq.chain.hash, seq.chain.tail)), len(seq.chain.tail)
	}
	return kv
}

// export returns the KV cache of a running or recently finished request.
func (s *Server) export(request string) *KV {
	var kv *KV
	if s.scheduler.snapshot(request, func(seq *sequence) { kv = newKV(seq) }) {
		return kv
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok := s.finished.Get(request); ok {
		copied := *found
		return &copied
	}
	return nil
}

// simulateTransfer waits for the transfer time of the KV cache of tokens. It
// returns false if ctx ended.
func (s *Server) simulateTransfer(ctx context.Context, tokens int) bool {
	select {
	case <-time.After(time.Duration(tokens) * s.options.KVPerToken):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) handleExport(ctx context.Context, c *app.RequestContext) {
	kv := s.export(strings.TrimPrefix(c.Param("id"), "/"))
	if kv == nil {
		fail(c, http.StatusNotFound, "not_found", "no KV cache of this request")
		return
	}
	if !s.simulateTransfer(ctx, kv.Tokens) {
		return
	}
	s.update(func() { s.stats.Exports++ })
	kv.Payload = strings.Repeat("0", kv.Tokens*s.options.KVBytesPerToken)
	c.JSON(http.StatusOK, kv)
}

func (s *Server) handleImport(ctx context.Context, c *app.RequestContext) {
	var kv KV
	if err := c.BindJSON(&kv); err != nil {
		fail(c, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	s.mu.Lock()
	salt := hexHash(saltHash(s.saltLocked()))
	s.mu.Unlock()
	if kv.Salt != salt {
		fail(c, http.StatusConflict, "conflict", "the KV cache belongs to another model or version")
		return
	}
	if !s.simulateTransfer(ctx, kv.Tokens) {
		return
	}
	if err := s.importKV(&kv); err != nil {
		fail(c, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	c.JSON(http.StatusOK, map[string]int{"tokens": kv.Tokens})
}

func (s *Server) importKV(kv *KV) error {
	blocks := make([]uint64, 0, len(kv.Blocks))
	for _, text := range kv.Blocks {
		hash, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return err
		}
		blocks = append(blocks, hash)
	}
	var tail uint64
	if kv.Tail != "" {
		var err error
		if tail, err = strconv.ParseUint(kv.Tail, 16, 64); err != nil {
			return err
		}
	}
	s.cache.store(kv.Request, blocks, tail, kv.TailTokens)
	s.update(func() { s.stats.Imports++ })
	return nil
}
