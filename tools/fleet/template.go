package fleet

import (
	"strings"

	"github.com/pkg/errors"
)

// RenderTemplate renders the settings template of a deployment like the platform: {{a}} is replaced by the value a, and
// the text between {{#a}} and {{/a}} is left out if there is no value a. Sections are not nested.
func RenderTemplate(text string, values map[string]string) (string, error) {
	for {
		before, rest, found := strings.Cut(text, "{{#")
		if !found {
			break
		}
		name, rest, _ := strings.Cut(rest, "}}")
		body, after, closed := strings.Cut(rest, "{{/"+name+"}}")
		if !closed {
			return "", errors.Errorf("section %q of the template is not closed", name)
		}
		if _, present := values[name]; !present {
			body = ""
		}
		text = before + body + after
	}
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if _, rest, found := strings.Cut(text, "{{"); found {
		name, _, _ := strings.Cut(rest, "}}")
		return "", errors.Errorf("the template has no value %q", name)
	}
	return text, nil
}
