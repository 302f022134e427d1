package tabulator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Invalid is the error type of refused tables. The message lists each fault with
// its row.
var Invalid = errorx.NewNamespace("tables").NewType("invalid")

// ParseTOML decodes a table as written by operators. It fails on unknown keys.
func ParseTOML[T Routes | Pools](text []byte) (T, error) {
	var table T
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(&table)
	if err == nil {
		return table, nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return table, Invalid.New("%s", describeUnknownKeys(strict))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, column := decode.Position()
		return table, Invalid.New("line %d, column %d: %s", line, column, decode.Error())
	}
	return table, Invalid.Wrap(err, "read table")
}

// describeUnknownKeys lists each unknown key with its line.
func describeUnknownKeys(strict *toml.StrictMissingError) string {
	var faults []string
	for _, unknown := range strict.Errors {
		line, _ := unknown.Position()
		faults = append(faults, fmt.Sprintf("line %d: unknown key %s", line, strings.Join(unknown.Key(), ".")))
	}
	return strings.Join(faults, "; ")
}

// ParseJSON decodes a table as stored in the platform. It fails on unknown keys.
func ParseJSON[T Routes | Pools](text []byte) (T, error) {
	var table T
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&table); err != nil {
		return table, Invalid.Wrap(err, "read table")
	}
	return table, nil
}

// Join returns the snapshot of both tables, or fails with Invalid if Check finds faults.
func Join(number identifier.Configuration, routes Routes, pools Pools) (*Snapshot, error) {
	if faults := Check(routes, pools); len(faults) > 0 {
		return nil, Invalid.New("%s", strings.Join(faults, "; "))
	}
	return &Snapshot{Number: number, Routes: routes, Pools: pools, index: newIndex(routes, pools)}, nil
}

// Check returns the faults of both tables, each with its row, or nil.
func Check(routes Routes, pools Pools) []string {
	var faults []string
	if pools.ConcurrentLoads < 0 {
		faults = append(faults, "concurrent-loads must not be negative")
	}
	faults = append(faults, checkPools(pools)...)
	return append(faults, checkRoutes(routes, pools)...)
}

func checkRoutes(routes Routes, pools Pools) []string {
	kinds := map[identifier.Pool]Kind{}
	for _, pool := range pools.Pools {
		kinds[pool.Name] = pool.Kind
	}
	var faults []string
	seen := map[identifier.Route]bool{}
	for _, route := range routes.Routes {
		addFault := func(format string, a ...any) {
			faults = append(faults, fmt.Sprintf("route %q: ", route.Name)+fmt.Sprintf(format, a...))
		}
		if route.Name == "" || seen[route.Name] {
			addFault("name missing or used twice")
		}
		seen[route.Name] = true
		kind, known := kinds[route.Pool]
		if !known {
			addFault("names pool %q, which is not in the pools table", route.Pool)
		}
		if kind == Models && (route.FirstToken <= 0 || route.BetweenTokens <= 0) {
			addFault("first-token and between-tokens must be positive")
		}
		if route.Timeout < 0 {
			addFault("timeout must not be negative")
		}
	}
	return faults
}

func checkPools(pools Pools) []string {
	var faults []string
	seen := map[identifier.Pool]bool{}
	for _, pool := range pools.Pools {
		if pool.Name == "" || seen[pool.Name] {
			faults = append(faults, fmt.Sprintf("pool %q: name missing or used twice", pool.Name))
		}
		seen[pool.Name] = true
		for _, fault := range checkPool(pool) {
			faults = append(faults, fmt.Sprintf("pool %q: %s", pool.Name, fault))
		}
	}
	return faults
}

func checkPool(pool Pool) []string {
	var faults []string
	switch {
	case pool.Kind != Models && pool.Kind != Services:
		faults = append(faults, fmt.Sprintf("kind %q is neither models nor services", pool.Kind))
	case pool.Kind == Models && (pool.PieceTokens <= 0 || pool.KVBytesPerToken <= 0):
		faults = append(faults, "piece-tokens and kv-bytes-per-token must be positive")
	}
	// NaN must be refused too, so the condition is negated.
	if !(pool.LesserShare >= 0 && pool.LesserShare <= 1) {
		faults = append(faults, "lesser-share must lie from 0 to 1")
	}
	if pool.QueueLimit < 0 {
		faults = append(faults, "queue-limit must not be negative")
	}
	if len(pool.Members) == 0 {
		faults = append(faults, "has no members")
	}
	seen := map[identifier.Member]bool{}
	for _, member := range pool.Members {
		if member.Name == "" || seen[member.Name] {
			faults = append(faults, fmt.Sprintf("member %q: name missing or used twice", member.Name))
		}
		seen[member.Name] = true
		if fault := checkMember(pool.Kind, member); fault != "" {
			faults = append(faults, fmt.Sprintf("member %q: %s", member.Name, fault))
		}
	}
	return faults
}

func checkMember(kind Kind, member Member) string {
	isEngine := member.Role == identifier.Prefill || member.Role == identifier.Decode
	_, port, err := net.SplitHostPort(string(member.Address))
	switch {
	case member.Address == "":
		return "address missing"
	case err != nil || port == "":
		return fmt.Sprintf("address %q is not of the form host:port", member.Address)
	case member.Concurrency < 0 || member.PrefillRate < 0 || member.LinkRate < 0:
		return "concurrency, prefill-rate and link-rate must not be negative"
	case kind == Models && !isEngine:
		return fmt.Sprintf("role %q is neither prefill nor decode", member.Role)
	case kind == Services && member.Role != identifier.Service:
		return fmt.Sprintf("role %q is not service", member.Role)
	case kind == Models && member.Pieces <= 0:
		return "pieces must be positive"
	default:
		return ""
	}
}
