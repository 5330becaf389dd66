// Package charts embeds the statechart files that the daemon interprets.
package charts

import "embed"

// Files holds one YAML file for each chart; statechart.Load reads them.
//
//go:embed *.yaml
var Files embed.FS
