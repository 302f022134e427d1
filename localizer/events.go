package localizer

import (
	"math"

	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventBegan = logger.Define(6300, logrus.InfoLevel, "requests begin to leave the data centre",
		"A share of a pool's requests goes to servers in other data centres; the field reason says why. wait-ms is the expected wait at home, price-ms the wait that the bytes of one request are worth.")
	eventChanged = logger.Define(6301, logrus.InfoLevel, "share that leaves the data centre changed",
		"The share of a pool's requests that goes to other data centres differs much from the last logged one.")
	eventEnded = logger.Define(6302, logrus.InfoLevel, "requests no longer leave the data centre",
		"All requests of a pool stay in their data centre again; the field reason says why.")
)

// LogChange logs a change of the share that leaves a data centre, unless there is none.
func LogChange(log *logger.Logger, change Change, pool identifier.Pool, role identifier.Role, in Input, d *Decision) {
	event := eventChanged
	switch change {
	case Began:
		event = eventBegan
	case Ended:
		event = eventEnded
	case ChangedMuch:
	default:
		return
	}
	fields := logger.Fields{
		"pool": pool, "role": role, "reason": d.Reason, "share": rounded(d.Leaving()),
		"price-ms": in.Price.Of(in.Bytes).Milliseconds(), "request-bytes": int64(in.Bytes),
	}
	if in.Home != nil {
		fields["wait-ms"] = in.Home.wait().Milliseconds()
	}
	for _, s := range d.Shares {
		fields["to-"+string(s.DataCentre)] = rounded(s.Part)
	}
	log.Log(event, fields)
}

func rounded(share float64) float64 { return math.Round(share*1000) / 1000 }
