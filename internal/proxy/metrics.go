package proxy

import "github.com/VictoriaMetrics/metrics"

// proxyMetrics counts events of the request path.
type proxyMetrics struct {
	migrations     *metrics.Counter
	kvMoves        *metrics.Counter
	foreignReplies *metrics.Counter
	handovers      *metrics.Counter
	resumes        *metrics.Counter
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
