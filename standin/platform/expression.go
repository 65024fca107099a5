package platform

import (
	"maps"
	"strings"
)

// maxExpressionDepth limits the nesting of a condition, so that a malicious expression cannot
// exhaust the stack. DynamoDB has a similar limit.
const maxExpressionDepth = 32

// condition reports whether a row satisfies a condition expression; a missing row is a nil item.
type condition func(row item) bool

// operand evaluates an operand against a row. It returns false if the row lacks the attribute.
type operand func(row item) (value, bool)

// parser is a recursive descent parser of condition, key condition and update expressions. It
// supports AND, OR, NOT, parentheses, the comparison operators, attribute_exists,
// attribute_not_exists, begins_with, and the SET clause with single operands (no arithmetic or
// functions).
type parser struct {
	tokens []string
	pos    int
	depth  int
	names  map[string]string
	values map[string]value
}

func newParser(text string, names map[string]string, values map[string]value) *parser {
	return &parser{tokens: tokenize(text), names: names, values: values}
}

// parseCondition compiles a condition expression. It returns nil for an empty expression,
// which every row satisfies.
func parseCondition(text string, names map[string]string, values map[string]value) (condition, error) {
	if text == "" {
		return nil, nil
	}
	p := newParser(text, names, values)
	parsed, err := p.disjunction()
	if err != nil {
		return nil, err
	}
	if p.pos < len(p.tokens) {
		return nil, invalid("unexpected %q in expression", p.tokens[p.pos])
	}
	return parsed, nil
}

// parseUpdate compiles an update expression, which must be a single SET clause.
func parseUpdate(text string, names map[string]string, values map[string]value) (func(old item) item, error) {
	p := newParser(text, names, values)
	if !p.accept("SET") {
		return nil, invalid("update expressions support only SET")
	}
	assignments := map[string]operand{}
	for {
		name, err := p.attribute()
		if err != nil {
			return nil, err
		}
		if !p.accept("=") {
			return nil, invalid("expected = after %s", name)
		}
		if assignments[name], err = p.operand(); err != nil {
			return nil, err
		}
		if !p.accept(",") {
			break
		}
	}
	if p.pos < len(p.tokens) {
		return nil, invalid("unexpected %q in expression", p.tokens[p.pos])
	}
	return func(old item) item { return assign(old, assignments) }, nil
}

func assign(old item, assignments map[string]operand) item {
	updated := maps.Clone(old)
	if updated == nil {
		updated = item{}
	}
	for name, from := range assignments {
		if v, ok := from(old); ok {
			updated[name] = v
		}
	}
	return updated
}

func (p *parser) peek() string {
	if p.pos < len(p.tokens) {
		return p.tokens[p.pos]
	}
	return ""
}

func (p *parser) next() string {
	token := p.peek()
	p.pos++
	return token
}

func (p *parser) accept(word string) bool {
	if !strings.EqualFold(p.peek(), word) {
		return false
	}
	p.pos++
	return true
}

func (p *parser) disjunction() (condition, error) {
	if p.depth++; p.depth > maxExpressionDepth {
		return nil, invalid("expression is nested too deeply")
	}
	defer func() { p.depth-- }()
	left, err := p.conjunction()
	for err == nil && p.accept("OR") {
		var right condition
		right, err = p.conjunction()
		first := left
		left = func(row item) bool { return first(row) || right(row) }
	}
	return left, err
}

func (p *parser) conjunction() (condition, error) {
	left, err := p.term()
	for err == nil && p.accept("AND") {
		var right condition
		right, err = p.term()
		first := left
		left = func(row item) bool { return first(row) && right(row) }
	}
	return left, err
}

func (p *parser) term() (condition, error) {
	switch {
	case p.accept("NOT"):
		return p.negation()
	case p.accept("("):
		inner, err := p.disjunction()
		if err == nil && !p.accept(")") {
			err = invalid("expected )")
		}
		return inner, err
	case p.accept("attribute_exists"):
		return p.exists(true)
	case p.accept("attribute_not_exists"):
		return p.exists(false)
	case p.accept("begins_with"):
		return p.beginsWith()
	}
	return p.comparison()
}

func (p *parser) negation() (condition, error) {
	if p.depth++; p.depth > maxExpressionDepth {
		return nil, invalid("expression is nested too deeply")
	}
	defer func() { p.depth-- }()
	inner, err := p.term()
	if err != nil {
		return nil, err
	}
	return func(row item) bool { return !inner(row) }, nil
}

func (p *parser) exists(want bool) (condition, error) {
	if !p.accept("(") {
		return nil, invalid("expected (")
	}
	name, err := p.attribute()
	if err != nil {
		return nil, err
	}
	if !p.accept(")") {
		return nil, invalid("expected )")
	}
	return func(row item) bool {
		_, ok := row[name]
		return ok == want
	}, nil
}

func (p *parser) beginsWith() (condition, error) {
	if !p.accept("(") {
		return nil, invalid("expected (")
	}
	name, err := p.attribute()
	if err != nil {
		return nil, err
	}
	if !p.accept(",") {
		return nil, invalid("expected ,")
	}
	prefix, err := p.operand()
	if err != nil {
		return nil, err
	}
	if !p.accept(")") {
		return nil, invalid("expected )")
	}
	return func(row item) bool {
		have, want := row[name], value{}
		want, _ = prefix(row)
		return have.S != nil && want.S != nil && strings.HasPrefix(*have.S, *want.S)
	}, nil
}

// comparisonOperators maps a comparison operator to a predicate on the result of compare.
var comparisonOperators = map[string]func(order int) bool{
	"=":  func(order int) bool { return order == 0 },
	"<>": func(order int) bool { return order != 0 },
	"<":  func(order int) bool { return order < 0 },
	"<=": func(order int) bool { return order <= 0 },
	">":  func(order int) bool { return order > 0 },
	">=": func(order int) bool { return order >= 0 },
}

func (p *parser) comparison() (condition, error) {
	left, err := p.operand()
	if err != nil {
		return nil, err
	}
	symbol := p.next()
	satisfies, ok := comparisonOperators[symbol]
	if !ok {
		return nil, invalid("%q is not a comparison operator", symbol)
	}
	right, err := p.operand()
	if err != nil {
		return nil, err
	}
	return func(row item) bool {
		a, okA := left(row)
		b, okB := right(row)
		if !okA || !okB {
			return false
		}
		order, comparable := compare(a, b)
		return comparable && satisfies(order)
	}, nil
}

func (p *parser) operand() (operand, error) {
	if strings.HasPrefix(p.peek(), ":") {
		name := p.next()
		v, ok := p.values[name]
		if !ok {
			return nil, invalid("expression attribute value %s is not defined", name)
		}
		return func(item) (value, bool) { return v, true }, nil
	}
	name, err := p.attribute()
	if err != nil {
		return nil, err
	}
	return func(row item) (value, bool) {
		v, ok := row[name]
		return v, ok
	}, nil
}

func (p *parser) attribute() (string, error) {
	token := p.next()
	if strings.HasPrefix(token, "#") {
		name, ok := p.names[token]
		if !ok {
			return "", invalid("expression attribute name %s is not defined", token)
		}
		return name, nil
	}
	if token == "" || !isWordByte(token[0]) || token[0] == ':' {
		return "", invalid("expected an attribute name, got %q", token)
	}
	return token, nil
}

func isWordByte(c byte) bool {
	return c == '_' || c == '#' || c == ':' ||
		c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

// tokenize splits text into words, comparison operators and single-character symbols.
func tokenize(text string) []string {
	var tokens []string
	for i := 0; i < len(text); {
		start := i
		switch c := text[i]; {
		case c == ' ' || c == '\t' || c == '\n':
			i++
			continue
		case isWordByte(c):
			for i < len(text) && isWordByte(text[i]) {
				i++
			}
		case strings.ContainsRune("<>", rune(c)):
			i++
			if i < len(text) && (text[i] == '=' || c == '<' && text[i] == '>') {
				i++
			}
		default:
			i++
		}
		tokens = append(tokens, text[start:i])
	}
	return tokens
}
