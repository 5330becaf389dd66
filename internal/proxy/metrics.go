package proxy

import "github.com/VictoriaMetrics/metrics"

// proxyMetrics holds the counters of the proxy.
type proxyMetrics struct {
	migrations     *metrics.Counter // streams that left a leaving upstream
	kvMoves        *metrics.Counter // KV caches imported into another upstream
	foreignReplies *metrics.Counter // replies that belong to another attempt
	handovers      *metrics.Counter // requests taken over from another daemon
	resumes        *metrics.Counter // readers that resumed a request
}

func newProxyMetrics() *proxyMetrics {
	return &proxyMetrics{
		migrations:     metrics.GetOrCreateCounter("rudder_stream_migrations_total"),
		kvMoves:        metrics.GetOrCreateCounter("rudder_kv_cache_moves_total"),
		foreignReplies: metrics.GetOrCreateCounter("rudder_foreign_replies_total"),
		handovers:      metrics.GetOrCreateCounter("rudder_stream_handovers_total"),
		resumes:        metrics.GetOrCreateCounter("rudder_stream_resumes_total"),
	}
}
