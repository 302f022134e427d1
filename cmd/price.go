package cmd

import (
	"time"

	"github.com/spf13/pflag"

	"github.com/foxtailspool/foxtailspool/localizer"
)

// priceFlag is the price of the bytes between data centres; nil means that none was given.
type priceFlag struct{ price *localizer.Price }

var _ pflag.Value = (*priceFlag)(nil)

// Set parses a duration from zero to localizer.MaxWaitPerGB.
func (p *priceFlag) Set(text string) error {
	wait, err := time.ParseDuration(text)
	if err != nil {
		return Faulty.New("%q is no duration, such as 20m", text)
	}
	if wait < 0 || wait > localizer.MaxWaitPerGB {
		return Faulty.New("%s is not between 0s and %s", text, localizer.MaxWaitPerGB)
	}
	price := localizer.Price(wait)
	p.price = &price
	return nil
}

func (p *priceFlag) String() string {
	if p.price == nil {
		return ""
	}
	return time.Duration(*p.price).String()
}

// Type returns the name of the flag's value in the help text.
func (*priceFlag) Type() string { return "duration" }
