package answers

import (
	_ "embed"
	"strings"
)

//go:embed template.ini
var template string

// Template returns an answer file with example values and comments for a service of the given name.
func Template(service string) string {
	return strings.ReplaceAll(template, "SERVICE", service)
}
