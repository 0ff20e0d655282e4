// Package examples embeds the example settings files, which the experiments use.
package examples

import "embed"

// Files holds the settings files of this folder.
//
//go:embed *.jsonc
var Files embed.FS
