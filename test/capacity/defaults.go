package main

import (
	"strings"

	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
)

// defaults are the settings of a daemon whose file has only the required keys.
var defaults = mustParse("[daemon]\nname = a\ndata_centre = dc\n[orders]\nsecret_id = k\nsecret = " +
	strings.Repeat("00", 32) + "\n")

func mustParse(text string) *settings.Settings {
	s, err := settings.Parse("defaults", strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	return s
}
