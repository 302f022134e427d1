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

// Fault is one error in the settings.
type Fault struct {
	// Line is the line of the key, from 1, or of its section when the key is
	// missing; zero when both are missing.
	Line int `json:"line,omitempty"`
	// Key is the section and the key; empty when the file is not TOML.
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
}

// Faults lists all errors in the settings, sorted by line.
type Faults []Fault

// Error formats the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// String formats the fault with its line and key.
func (f Fault) String() string {
	prefix := ""
	if f.Line > 0 {
		prefix = fmt.Sprintf("line %d: ", f.Line)
	}
	if f.Key != "" {
		prefix += f.Key + ": "
	}
	return prefix + f.Problem
}

// defaultText marks a value passed to Key.set as the text of a default. Number
// and ratio keys parse it as text; a string from the file is an error there.
type defaultText string

// Parse parses TOML settings and returns every fault. The settings are valid only
// without faults; absent keys then have their defaults.
func Parse(content []byte) (Settings, Faults) {
	settings := Settings{}
	keys := Keys(&settings)
	applyDefaults(keys)
	values := map[string]any{}
	if err := toml.Unmarshal(content, &values); err != nil {
		return settings, Faults{syntaxFault(err)}
	}
	lines := findLines(content)
	leaves := map[string]any{}
	flatten("", values, leaves)
	faults := assign(keys, leaves, lines)
	if len(faults) == 0 {
		faults = settings.checkCombinations(lines)
		settings.setDefaultAdvertise()
		settings.setDefaultAccountLimit()
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

// flatten stores the values of a section and its subsections in leaves under
// their dotted names. An empty section is stored under its own name, so that a
// section with an unknown name is reported even if it is empty.
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

// quoteDots quotes a key that contains a dot, to distinguish the quoted TOML key
// "node.name" from key name in section node.
func quoteDots(key string) string {
	if strings.Contains(key, ".") {
		return strconv.Quote(key)
	}
	return key
}

// lineOf returns the line of a key, or of its section when the key is missing, or
// zero when both are missing.
func lineOf(lines map[string]int, key string) int {
	if line, found := lines[key]; found {
		return line
	}
	section, _, _ := strings.Cut(key, ".")
	return lines[section]
}

// assign sets the keys from leaves, removes them from it, and returns the faults
// of invalid, missing and unknown keys.
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

// findLines returns the line of every key and section. The content is valid TOML.
func findLines(content []byte) map[string]int {
	lines := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(content)
	section := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			section = recordLine(&parser, "", expression, lines) + "."
		case unstable.KeyValue:
			recordValueLines(&parser, section, expression, lines)
		default:
		}
	}
	return lines
}

// recordValueLines records the line of a key and of the keys in an inline table.
func recordValueLines(parser *unstable.Parser, prefix string, node *unstable.Node, lines map[string]int) {
	name := recordLine(parser, prefix, node, lines)
	value := node.Value()
	if value.Kind != unstable.InlineTable {
		return
	}
	for children := value.Children(); children.Next(); {
		recordValueLines(parser, name+".", children.Node(), lines)
	}
}

// recordLine records the line of each part of a node's key, keeping the first line
// seen, and returns the key's dotted name.
func recordLine(parser *unstable.Parser, prefix string, node *unstable.Node, lines map[string]int) string {
	name := strings.TrimSuffix(prefix, ".")
	for parts := node.Key(); parts.Next(); {
		if name != "" {
			name += "."
		}
		part := parts.Node()
		name += quoteDots(string(part.Data))
		if _, recorded := lines[name]; !recorded {
			lines[name] = parser.Shape(part.Raw).Start.Line
		}
	}
	return name
}

// checkCombinations returns the faults of keys that are valid alone but not
// together.
func (s *Settings) checkCombinations(lines map[string]int) Faults {
	var faults Faults
	addFault := func(key, problem string) {
		faults = append(faults, Fault{Line: lineOf(lines, key), Key: key, Problem: problem})
	}
	for section, listener := range s.listeners() {
		if listener.Advertise == "" && isWildcard(listener.Listen) {
			addFault(section+".advertise", "is required where listen is a wildcard")
		}
		if isWildcard(listener.Advertise) {
			addFault(section+".advertise", "must not be a wildcard")
		}
		s.checkTLS(section, listener.TLS, addFault)
	}
	s.checkTLS("platform", s.Platform.TLS, addFault)
	if s.Callers.Listen == s.Peers.Listen {
		addFault("peers.listen", "is the callers' address; each listener needs its own")
	}
	if s.Operators.Listen == s.Callers.Listen || s.Operators.Listen == s.Peers.Listen {
		addFault("operators.listen", "is another listener's address; each listener needs its own")
	}
	if s.Membership.ProbeTimeout >= s.Membership.ProbeInterval {
		addFault("membership.probe-timeout", "must be below probe-interval")
	}
	if s.Requests.CancelRetry > s.Requests.CancelGiveUp {
		addFault("requests.cancel-retry", "must not be above cancel-give-up")
	}
	if s.Requests.MaxInFlightPerAccount > s.Requests.MaxInFlight {
		addFault("requests.max-in-flight-per-account", "must not be above max-in-flight")
	}
	return faults
}

func (s *Settings) checkTLS(section string, files TLS, addFault func(key, problem string)) {
	if files.CertificateFile != "" && files.KeyFile == "" {
		addFault(section+".key-file", "is required with certificate-file")
	}
	if files.KeyFile != "" && files.CertificateFile == "" {
		addFault(section+".certificate-file", "is required with key-file")
	}
	if section != "platform" && files.AuthorityFile != "" && files.CertificateFile == "" {
		addFault(section+".certificate-file", "is required with authority-file")
	}
}

func (s *Settings) listeners() map[string]*Listener {
	return map[string]*Listener{"callers": &s.Callers, "peers": &s.Peers, "operators": &s.Operators}
}

func (s *Settings) setDefaultAdvertise() {
	for _, listener := range s.listeners() {
		if listener.Advertise == "" {
			listener.Advertise = listener.Listen
		}
	}
}

// defaultAccountDivisor divides max-in-flight to get the default of
// max-in-flight-per-account.
const defaultAccountDivisor = 4

func (s *Settings) setDefaultAccountLimit() {
	if s.Requests.MaxInFlightPerAccount == 0 {
		s.Requests.MaxInFlightPerAccount = max(1, s.Requests.MaxInFlight/defaultAccountDivisor)
	}
}

func isWildcard(address identifier.Address) bool {
	parsed, err := netip.ParseAddrPort(string(address))
	return err == nil && parsed.Addr().IsUnspecified()
}
