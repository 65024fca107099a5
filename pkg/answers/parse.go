package answers

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// MaxFileBytes bounds the size of an answer file.
const MaxFileBytes = 64 << 10

const (
	sectionService = "service"
	sectionKind    = "kind"
)

// Parse reads the answer file with the given name and content. It returns what could be read together
// with every fault of the file; the answers are complete only if there are no faults. Rules on the
// values and across services are the matter of Check.
func Parse(file string, data []byte) (*Answers, Faults) {
	p := &parser{answers: &Answers{File: file, lines: map[position]int{}, faulty: map[position]bool{}}}
	if len(data) > MaxFileBytes || !utf8.Valid(data) {
		p.fault(1, "the file is not a short text file", fmt.Sprintf("UTF-8 text of at most %d bytes", MaxFileBytes), "")
		return p.answers, p.faults
	}
	for _, s := range scan(data) {
		p.statement(s)
	}
	p.finishSection()
	if p.answers.lines[position{}] == 0 {
		p.fault(1, "there is no section [service]", "a section [service]", "")
		for _, f := range serviceFields(&p.answers.Service) {
			p.answers.faulty[position{key: f.key}] = true
		}
	}
	p.faults.Sort()
	return p.answers, p.faults
}

// parser holds the state between statements: the current section and its fields.
type parser struct {
	answers *Answers
	faults  Faults

	inSection bool
	// skip is set in a section that has a fault itself; its keys are not looked at.
	skip   bool
	where  position
	kind   *snapshot.Kind
	fields []field
}

func (p *parser) fault(line int, reason, expected, near string) {
	p.faults = append(p.faults, Fault{File: p.answers.File, Line: line, Reason: reason, Expected: expected, Nearest: near})
}

func (p *parser) statement(s statement) {
	switch {
	case s.bad:
		p.fault(s.line, "the line cannot be read", "[section] or key = value", "")
	case s.section != "":
		p.finishSection()
		p.startSection(s)
	case !p.inSection:
		p.fault(s.line, fmt.Sprintf("key %q stands before the first section", s.key), "a section [service] or [kind NAME] first", "")
	case !p.skip:
		p.assign(s)
	}
}

func (p *parser) startSection(s statement) {
	p.inSection, p.skip = true, true
	word, name, _ := strings.Cut(s.section, " ")
	p.where = position{kind: name}
	switch {
	case word == sectionService && name == "":
		p.kind, p.fields = nil, serviceFields(&p.answers.Service)
	case word == sectionKind && name != "" && !strings.Contains(name, " "):
		// worth has a default, so that teams which do not weigh their kinds need not answer.
		p.kind = &snapshot.Kind{Name: name, Worth: 1}
		p.fields = kindFields(p.kind)
	default:
		p.fault(s.line, fmt.Sprintf("unknown section [%s]", s.section), "[service] or [kind NAME]",
			nearest(word, []string{sectionService, sectionKind}))
		return
	}
	if first := p.answers.lines[p.where]; first != 0 {
		p.fault(s.line, fmt.Sprintf("section [%s] is already on line %d", s.section, first), "each section once", "")
		return
	}
	p.answers.lines[p.where] = s.line
	p.skip = false
}

// finishSection reports the missing keys of the section and stores its kind.
func (p *parser) finishSection() {
	if !p.inSection || p.skip {
		return
	}
	for _, f := range p.fields {
		at := position{p.where.kind, f.key}
		if f.optional || p.answers.lines[at] != 0 {
			continue
		}
		p.answers.faulty[at] = true
		p.fault(p.answers.lines[p.where], fmt.Sprintf("key %q is missing", f.key), f.expected, "")
	}
	if p.kind != nil {
		p.answers.Service.Kinds = append(p.answers.Service.Kinds, *p.kind)
	}
}

func (p *parser) assign(s statement) {
	at := position{p.where.kind, s.key}
	f, ok := p.field(s.key)
	if !ok {
		keys := keysOf(p.fields)
		p.fault(s.line, fmt.Sprintf("unknown key %q", s.key), "one of "+strings.Join(keys, ", "), nearest(s.key, keys))
		return
	}
	if first := p.answers.lines[at]; first != 0 {
		p.fault(s.line, fmt.Sprintf("key %q is already on line %d", s.key, first), "each key once in a section", "")
		return
	}
	p.answers.lines[at] = s.line
	if s.value == "" && !f.optional {
		p.answers.faulty[at] = true
		p.fault(s.line, fmt.Sprintf("key %q has no value", s.key), f.expected, "")
		return
	}
	if !f.set(s.value) {
		p.answers.faulty[at] = true
		p.fault(s.line, fmt.Sprintf("key %q: %q is not valid", s.key, s.value), f.expected, f.proposal(s.value))
	}
}

func (p *parser) field(key string) (field, bool) {
	for _, f := range p.fields {
		if f.key == key {
			return f, true
		}
	}
	return field{}, false
}
