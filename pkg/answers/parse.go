package answers

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// MaxFileBytes is the maximum size of an answer file.
const MaxFileBytes = 64 << 10

const (
	sectionService = "service"
	sectionKind    = "kind"
)

// Parse parses the answer file with the given name and content. It returns the answers that it
// could parse and every fault of syntax, missing or unknown keys and malformed values; the answers
// are complete only if there are no faults. Check validates the values and the references between
// services.
func Parse(file string, data []byte) (*Answers, Faults) {
	p := &parser{answers: &Answers{File: file, lines: map[position]int{}, faulty: map[position]bool{}}}
	if len(data) > MaxFileBytes || !utf8.Valid(data) {
		p.addFault(1, "the file is not UTF-8 text or is too large", fmt.Sprintf("UTF-8 text of at most %d bytes", MaxFileBytes), "")
		return p.answers, p.faults
	}
	for _, s := range scan(data) {
		p.handleStatement(s)
	}
	p.finishSection()
	if p.answers.lines[position{}] == 0 {
		p.addFault(1, "there is no section [service]", "a section [service]", "")
		for _, f := range serviceFields(&p.answers.Service) {
			p.answers.faulty[position{key: f.key}] = true
		}
	}
	p.faults.Sort()
	return p.answers, p.faults
}

// parser holds the current section and its fields while the statements of a file are processed.
type parser struct {
	answers *Answers
	faults  Faults

	inSection bool
	// skip is set if the header of the section has a fault. Its keys are then ignored.
	skip    bool
	section position
	kind    *snapshot.Kind
	fields  []field
}

func (p *parser) addFault(line int, reason, expected, suggestion string) {
	p.faults = append(p.faults, Fault{File: p.answers.File, Line: line, Reason: reason, Expected: expected, Nearest: suggestion})
}

func (p *parser) handleStatement(s statement) {
	switch {
	case s.invalid:
		p.addFault(s.line, "the line cannot be read", "[section] or key = value", "")
	case s.section != "":
		p.finishSection()
		p.startSection(s)
	case !p.inSection:
		p.addFault(s.line, fmt.Sprintf("key %q precedes the first section", s.key), "a section [service] or [kind NAME] first", "")
	case !p.skip:
		p.assignKey(s)
	}
}

func (p *parser) startSection(s statement) {
	p.inSection, p.skip = true, true
	word, name, _ := strings.Cut(s.section, " ")
	p.section = position{kind: name}
	switch {
	case word == sectionService && name == "":
		p.kind, p.fields = nil, serviceFields(&p.answers.Service)
	case word == sectionKind && name != "" && !strings.Contains(name, " "):
		// worth defaults to 1, so that teams that do not weight their kinds can omit it.
		p.kind = &snapshot.Kind{Name: name, Worth: 1}
		p.fields = kindFields(p.kind)
	default:
		p.addFault(s.line, fmt.Sprintf("unknown section [%s]", s.section), "[service] or [kind NAME]",
			nearest(word, []string{sectionService, sectionKind}))
		return
	}
	if first := p.answers.lines[p.section]; first != 0 {
		p.addFault(s.line, fmt.Sprintf("section [%s] is already on line %d", s.section, first), "each section once", "")
		return
	}
	p.answers.lines[p.section] = s.line
	p.skip = false
}

// finishSection adds a fault for each missing key of the current section and stores its kind.
func (p *parser) finishSection() {
	if !p.inSection || p.skip {
		return
	}
	for _, f := range p.fields {
		at := position{p.section.kind, f.key}
		if f.optional || p.answers.lines[at] != 0 {
			continue
		}
		p.answers.faulty[at] = true
		p.addFault(p.answers.lines[p.section], fmt.Sprintf("key %q is missing", f.key), f.expected, "")
	}
	if p.kind != nil {
		p.answers.Service.Kinds = append(p.answers.Service.Kinds, *p.kind)
	}
}

func (p *parser) assignKey(s statement) {
	at := position{p.section.kind, s.key}
	f, ok := p.findField(s.key)
	if !ok {
		keys := fieldKeys(p.fields)
		p.addFault(s.line, fmt.Sprintf("unknown key %q", s.key), "one of "+strings.Join(keys, ", "), nearest(s.key, keys))
		return
	}
	if first := p.answers.lines[at]; first != 0 {
		p.addFault(s.line, fmt.Sprintf("key %q is already on line %d", s.key, first), "each key once in a section", "")
		return
	}
	p.answers.lines[at] = s.line
	if s.value == "" && !f.optional {
		p.answers.faulty[at] = true
		p.addFault(s.line, fmt.Sprintf("key %q has no value", s.key), f.expected, "")
		return
	}
	if !f.set(s.value) {
		p.answers.faulty[at] = true
		p.addFault(s.line, fmt.Sprintf("key %q: %q is not valid", s.key, s.value), f.expected, f.suggestion(s.value))
	}
}

func (p *parser) findField(key string) (field, bool) {
	for _, f := range p.fields {
		if f.key == key {
			return f, true
		}
	}
	return field{}, false
}
