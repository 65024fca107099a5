package answers

import (
	_ "embed"
	"strings"
)

//go:embed template.ini
var template string

// Template returns a commented answer file for a service with the given name.
func Template(service string) string {
	return strings.ReplaceAll(template, "SERVICE", service)
}
