package localizer

import (
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Count counts a request and its bytes by whether it left its data centre.
func Count(scope tally.Scope, role identifier.Role, leaves bool, bytes int64) {
	direction := "stays"
	if leaves {
		direction = "leaves"
	}
	tagged := scope.Tagged(map[string]string{"role": string(role), "direction": direction})
	tagged.Counter("data-centre-requests").Inc(1)
	tagged.Counter("data-centre-bytes").Inc(bytes)
}

// UpdateShare updates the gauge of the share that leaves the data centre.
func UpdateShare(scope tally.Scope, pool identifier.Pool, role identifier.Role, d *Decision) {
	scope.Tagged(map[string]string{"pool": string(pool), "role": string(role)}).Gauge("leaving-share").Update(d.Leaving())
}
