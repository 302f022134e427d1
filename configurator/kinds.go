package configurator

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// required is passed as the default of a key that must be set.
const required = "\x00required"

// Key describes one key of the settings file.
type Key struct {
	// Name is the section and the key, joined by a dot, such as "callers.read-timeout".
	Name string
	// Type is the value's type as shown to operators, such as "duration".
	Type string
	// Range describes the allowed values; empty when the type alone does.
	Range string
	// Default is the default as text; empty for Required keys.
	Default  string
	Required bool
	Meaning  string
	// set parses and validates a decoded TOML value and stores the result.
	set func(value any) error
}

// newKey returns a key whose set function stores the parsed value in target. The
// default is parsed by the same function as a value from the file.
func newKey[T any](name, typeName, allowed, defaultValue, meaning string, target *T, parse func(any) (T, error)) Key {
	key := Key{Name: name, Type: typeName, Range: allowed, Default: defaultValue, Meaning: meaning}
	key.set = func(value any) error {
		parsed, err := parse(value)
		if err == nil {
			*target = parsed
		}
		return err
	}
	if defaultValue == required {
		key.Default, key.Required = "", true
	}
	return key
}

// requireString wraps a parser of strings into one that rejects other types.
func requireString[T any](want string, parse func(string) (T, error)) func(any) (T, error) {
	return func(value any) (T, error) {
		content, ok := value.(string)
		if !ok {
			var zero T
			return zero, fmt.Errorf("want %s", want)
		}
		return parse(content)
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

func nameKey[T ~string](key string, target *T, meaning string) Key {
	const want = "a name of lower-case letters, digits, dots and hyphens, at most 63 characters"
	parse := func(content string) (T, error) {
		if !namePattern.MatchString(content) {
			return "", fmt.Errorf("%q is not %s", content, want)
		}
		return T(content), nil
	}
	return newKey(key, "name", "", required, meaning, target, requireString(want, parse))
}

const wantAddress = `an IP address and a port, such as "192.0.2.1:8080"`

func parseAddress(content string) (identifier.Address, error) {
	parsed, err := netip.ParseAddrPort(content)
	if err != nil || parsed.Port() == 0 {
		return "", fmt.Errorf("%q is not %s", content, wantAddress)
	}
	return identifier.Address(content), nil
}

func addressKey(key string, target *identifier.Address, defaultValue, meaning string) Key {
	parse := func(content string) (identifier.Address, error) {
		if content == "" && defaultValue != required {
			return "", nil
		}
		return parseAddress(content)
	}
	return newKey(key, "address", "", defaultValue, meaning, target, requireString(wantAddress, parse))
}

func addressListKey(key string, target *[]identifier.Address, meaning string) Key {
	parse := func(value any) ([]identifier.Address, error) {
		items, ok := value.([]any)
		if !ok && value != "" {
			return nil, fmt.Errorf("want a list of addresses")
		}
		var list []identifier.Address
		for _, item := range items {
			content, _ := item.(string)
			parsed, err := parseAddress(content)
			if err != nil {
				return nil, err
			}
			list = append(list, parsed)
		}
		return list, nil
	}
	return newKey(key, "list of addresses", "", "", meaning, target, parse)
}

func filePathKey(key string, target *string, meaning string) Key {
	parse := func(content string) (string, error) { return content, nil }
	return newKey(key, "file path", "", "", meaning, target, requireString("a file path", parse))
}

func baseURLKey(key string, target *string, defaultValue, meaning string) Key {
	const want = `an http or https address, such as "https://192.0.2.1:6443"`
	parse := func(content string) (string, error) {
		if content == "" && defaultValue != required {
			return "", nil
		}
		parsed, err := url.Parse(content)
		if err != nil || parsed.Host == "" || parsed.User != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return "", fmt.Errorf("want %s", want)
		}
		return strings.TrimSuffix(content, "/"), nil
	}
	return newKey(key, "URL", "", defaultValue, meaning, target, requireString(want, parse))
}

func durationKey(key string, target *time.Duration, defaultValue string, lowest, highest time.Duration, meaning string) Key {
	const want = `a duration with its unit, such as "300ms", "5s" or "2m"`
	allowed := fmt.Sprintf("%s to %s", shortDuration(lowest), shortDuration(highest))
	parse := func(content string) (time.Duration, error) {
		parsed, err := time.ParseDuration(content)
		if err != nil {
			return 0, fmt.Errorf("%q is not %s", content, want)
		}
		if parsed < lowest || parsed > highest {
			return 0, fmt.Errorf("%s is not within %s", content, allowed)
		}
		return parsed, nil
	}
	return newKey(key, "duration", allowed, defaultValue, meaning, target, requireString(want, parse))
}

// shortDuration formats d without trailing zero units: "24h", not "24h0m0s".
func shortDuration(d time.Duration) string {
	content := d.String()
	content = strings.TrimSuffix(content, "0s")
	return strings.TrimSuffix(content, "0m")
}

var sizeUnits = []struct {
	suffix string
	unit   Bytes
}{{"KiB", Kibibyte}, {"MiB", Mebibyte}, {"GiB", Gibibyte}, {"B", Byte}}

// parseSize parses a size such as "64KiB" and reports whether it is valid.
func parseSize(content string) (Bytes, bool) {
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(content, u.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(digits, 10, 32)
		return Bytes(number) * u.unit, err == nil
	}
	return 0, false
}

// String formats the size in the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range []int{2, 1, 0} {
		if b != 0 && b%sizeUnits[u].unit == 0 {
			return fmt.Sprintf("%d%s", b/sizeUnits[u].unit, sizeUnits[u].suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}

func sizeKey(key string, target *Bytes, defaultValue string, lowest, highest Bytes, meaning string) Key {
	const want = `a size with its unit (B, KiB, MiB, GiB), such as "64KiB"`
	allowed := fmt.Sprintf("%s to %s", lowest, highest)
	parse := func(content string) (Bytes, error) {
		parsed, ok := parseSize(content)
		if !ok {
			return 0, fmt.Errorf("%q is not %s", content, want)
		}
		if parsed < lowest || parsed > highest {
			return 0, fmt.Errorf("%s is not within %s", content, allowed)
		}
		return parsed, nil
	}
	return newKey(key, "size", allowed, defaultValue, meaning, target, requireString(want, parse))
}

func countKey(key string, target *int, defaultValue string, highest int64, meaning string) Key {
	allowed := fmt.Sprintf("1 to %d", highest)
	parse := func(value any) (int, error) {
		content, isDefault := value.(defaultText)
		if isDefault && content == "" {
			return 0, nil
		}
		if isDefault {
			return strconv.Atoi(string(content))
		}
		number, ok := value.(int64)
		if !ok {
			return 0, fmt.Errorf("want a whole number without quotes")
		}
		if number < 1 || number > highest {
			return 0, fmt.Errorf("%d is not within %s", number, allowed)
		}
		return int(number), nil
	}
	return newKey(key, "number", allowed, defaultValue, meaning, target, parse)
}

// optionalCountKey returns a number key whose value is zero when the key is absent.
func optionalCountKey(key string, target *int, highest int64, meaning string) Key {
	return countKey(key, target, "", highest, meaning)
}

func ratioKey(key string, target *float64, defaultValue, meaning string) Key {
	parse := func(value any) (float64, error) {
		var number float64
		switch content := value.(type) {
		case defaultText:
			return strconv.ParseFloat(string(content), 64)
		case int64:
			number = float64(content)
		case float64:
			number = content
		default:
			return 0, fmt.Errorf("want a number from 0 to 1")
		}
		if !(number >= 0 && number <= 1) {
			return 0, fmt.Errorf("%v is not within 0 to 1", number)
		}
		return number, nil
	}
	return newKey(key, "ratio", "0 to 1", defaultValue, meaning, target, parse)
}

func levelKey(key string, target *logrus.Level, defaultValue, meaning string) Key {
	const want = "one of error, warning, info, debug"
	parse := func(content string) (logrus.Level, error) {
		parsed, err := logrus.ParseLevel(content)
		if err != nil || parsed < logrus.ErrorLevel || parsed > logrus.DebugLevel {
			return 0, fmt.Errorf("%q is not %s", content, want)
		}
		return parsed, nil
	}
	return newKey(key, "level", want, defaultValue, meaning, target, requireString(want, parse))
}
