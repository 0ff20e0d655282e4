// Package examples embeds the example settings, for experiments.
package examples

import "embed"

// Files holds the settings files of this folder.
//
//go:embed *.jsonc
var Files embed.FS
