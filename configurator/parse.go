package configurator

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Fault is one thing wrong with the settings.
type Fault struct {
	// Line is where the key stands, from 1, or its section when the key is
	// missing; zero when both are.
	Line int `json:"line,omitempty"`
	// Key is the section and the key; empty when the file is not TOML.
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
}

// Faults is everything wrong with the settings, by line.
type Faults []Fault

// Error writes one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// String writes the fault with its line and key.
func (f Fault) String() string {
	where := ""
	if f.Line > 0 {
		where = fmt.Sprintf("line %d: ", f.Line)
	}
	if f.Key != "" {
		where += f.Key + ": "
	}
	return where + f.Problem
}

// defaultText is a default on its way through the check of its key.
type defaultText string

// Parse reads settings and lists every fault. Without faults the settings are
// complete: keys left out have their defaults.
func Parse(content []byte) (Settings, Faults) {
	settings := Settings{}
	keys := Keys(&settings)
	applyDefaults(keys)
	values := map[string]any{}
	if err := toml.Unmarshal(content, &values); err != nil {
		return settings, Faults{syntaxFault(err)}
	}
	lines := locate(content)
	leaves := map[string]any{}
	flatten("", values, leaves)
	faults := assign(keys, leaves, lines)
	if len(faults) == 0 {
		faults = settings.check(lines)
		settings.advertiseListeners()
		settings.boundAccounts()
	}
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	return settings, faults
}

func applyDefaults(keys []Key) {
	for _, key := range keys {
		if key.Required {
			continue
		}
		var value any = key.Default
		if key.Type == "number" || key.Type == "ratio" {
			value = defaultText(key.Default)
		}
		if err := key.set(value); err != nil {
			panic(fmt.Sprintf("default of %s: %v", key.Name, err))
		}
	}
}

func syntaxFault(err error) Fault {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return Fault{Problem: err.Error()}
	}
	line, _ := decode.Position()
	problem := strings.TrimPrefix(decode.Error(), "toml: ")
	return Fault{Line: line, Key: strings.Join(decode.Key(), "."), Problem: problem}
}

// flatten collects the values below sections under their dotted names. An empty
// section stands for itself, so that an unknown one is seen.
func flatten(prefix string, section map[string]any, leaves map[string]any) {
	for key, value := range section {
		name := prefix + quoteDots(key)
		inner, isSection := value.(map[string]any)
		if !isSection {
			leaves[name] = value
			continue
		}
		if len(inner) == 0 {
			leaves[name] = inner
		}
		flatten(name+".", inner, leaves)
	}
}

// quoteDots keeps a quoted key such as "node.name" apart from key name of
// section node.
func quoteDots(key string) string {
	if strings.Contains(key, ".") {
		return strconv.Quote(key)
	}
	return key
}

// lineOf returns the line of a key, of its section where the key is missing, or
// zero where both are.
func lineOf(lines map[string]int, key string) int {
	if line, found := lines[key]; found {
		return line
	}
	section, _, _ := strings.Cut(key, ".")
	return lines[section]
}

// assign stores the values and returns the faults of single keys.
func assign(keys []Key, leaves map[string]any, lines map[string]int) Faults {
	var faults Faults
	sections := map[string]bool{}
	for _, key := range keys {
		section, _, _ := strings.Cut(key.Name, ".")
		sections[section] = true
		value, present := leaves[key.Name]
		delete(leaves, key.Name)
		switch {
		case present:
			if err := key.set(value); err != nil {
				faults = append(faults, Fault{Line: lineOf(lines, key.Name), Key: key.Name, Problem: err.Error()})
			}
		case key.Required:
			faults = append(faults, Fault{Line: lineOf(lines, key.Name), Key: key.Name, Problem: "is required and missing"})
		}
	}
	for name, value := range leaves {
		_, isSection := value.(map[string]any)
		switch {
		case !sections[name]:
			faults = append(faults, Fault{Line: lines[name], Key: name, Problem: "unknown key"})
		case !isSection:
			faults = append(faults, Fault{Line: lines[name], Key: name, Problem: "want a section, written [" + name + "]"})
		}
	}
	return faults
}

// locate finds the line of every key and section. The content is valid TOML.
func locate(content []byte) map[string]int {
	lines := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(content)
	section := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			section = note(&parser, "", expression, lines) + "."
		case unstable.KeyValue:
			locateValue(&parser, section, expression, lines)
		default:
		}
	}
	return lines
}

// locateValue notes a key and, for an inline table, the keys in it.
func locateValue(parser *unstable.Parser, prefix string, node *unstable.Node, lines map[string]int) {
	name := note(parser, prefix, node, lines)
	value := node.Value()
	if value.Kind != unstable.InlineTable {
		return
	}
	for children := value.Children(); children.Next(); {
		locateValue(parser, name+".", children.Node(), lines)
	}
}

// note records the line of a node's key, and returns the key's dotted name.
func note(parser *unstable.Parser, prefix string, node *unstable.Node, lines map[string]int) string {
	name := strings.TrimSuffix(prefix, ".")
	for parts := node.Key(); parts.Next(); {
		if name != "" {
			name += "."
		}
		part := parts.Node()
		name += quoteDots(string(part.Data))
		if _, noted := lines[name]; !noted {
			lines[name] = parser.Shape(part.Raw).Start.Line
		}
	}
	return name
}

// check returns the faults between keys that are each right.
func (s *Settings) check(lines map[string]int) Faults {
	var faults Faults
	fault := func(key, problem string) {
		faults = append(faults, Fault{Line: lineOf(lines, key), Key: key, Problem: problem})
	}
	for section, listener := range s.listeners() {
		if listener.Advertise == "" && wildcard(listener.Listen) {
			fault(section+".advertise", "is required where listen is a wildcard")
		}
		if wildcard(listener.Advertise) {
			fault(section+".advertise", "must not be a wildcard")
		}
		s.checkTLS(section, listener.TLS, fault)
	}
	s.checkTLS("platform", s.Platform.TLS, fault)
	if s.Callers.Listen == s.Peers.Listen {
		fault("peers.listen", "is the callers' address; each listener needs its own")
	}
	if s.Operators.Listen == s.Callers.Listen || s.Operators.Listen == s.Peers.Listen {
		fault("operators.listen", "is another listener's address; each listener needs its own")
	}
	if s.Membership.ProbeTimeout >= s.Membership.ProbeInterval {
		fault("membership.probe-timeout", "must be below probe-interval")
	}
	if s.Requests.CancelRetry > s.Requests.CancelGiveUp {
		fault("requests.cancel-retry", "must not be above cancel-give-up")
	}
	if s.Requests.MaxInFlightPerAccount > s.Requests.MaxInFlight {
		fault("requests.max-in-flight-per-account", "must not be above max-in-flight")
	}
	return faults
}

func (s *Settings) checkTLS(section string, files TLS, fault func(key, problem string)) {
	if files.CertificateFile != "" && files.KeyFile == "" {
		fault(section+".key-file", "is required with certificate-file")
	}
	if files.KeyFile != "" && files.CertificateFile == "" {
		fault(section+".certificate-file", "is required with key-file")
	}
	if section != "platform" && files.AuthorityFile != "" && files.CertificateFile == "" {
		fault(section+".certificate-file", "is required with authority-file")
	}
}

func (s *Settings) listeners() map[string]*Listener {
	return map[string]*Listener{"callers": &s.Callers, "peers": &s.Peers, "operators": &s.Operators}
}

func (s *Settings) advertiseListeners() {
	for _, listener := range s.listeners() {
		if listener.Advertise == "" {
			listener.Advertise = listener.Listen
		}
	}
}

// accountShare is the part of max-in-flight that one account may have where the
// settings do not say.
const accountShare = 4

func (s *Settings) boundAccounts() {
	if s.Requests.MaxInFlightPerAccount == 0 {
		s.Requests.MaxInFlightPerAccount = max(1, s.Requests.MaxInFlight/accountShare)
	}
}

func wildcard(address identifier.Address) bool {
	parsed, err := netip.ParseAddrPort(string(address))
	return err == nil && parsed.Addr().IsUnspecified()
}
