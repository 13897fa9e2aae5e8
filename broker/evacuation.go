package broker

import (
	"go.uber.org/zap"

	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/wire"
)

// updateEvacuations gives the fleet the evacuations of the newest configuration, before each
// placement. The caller holds mu.
func (b *Broker) updateEvacuations() {
	if b.opts.View == nil {
		return
	}
	cfg, age := b.opts.View.Confirmed()
	if cfg.Version() == b.evacuations.Version() {
		return
	}
	before := b.evacuations
	b.evacuations = evac.FromConfig(cfg)
	b.fleet.SetEvacuations(b.evacuations)
	log := b.opts.Log.With(zap.Uint64("version", cfg.Version()), zap.Duration("age", age))
	for _, o := range b.evacuations.Orders() {
		if !before.Has(o.DataCentre) {
			log.Info("data centre evacuated", zap.String("dataCentre", o.DataCentre), zap.String("operator", o.Operator),
				zap.String("address", o.Address), zap.Time("requested", o.At), zap.Uint64("since", o.Version))
		}
	}
	for _, o := range before.Orders() {
		if !b.evacuations.Has(o.DataCentre) {
			log.Info("evacuation of a data centre ended", zap.String("dataCentre", o.DataCentre))
		}
	}
}

// evacuationState returns what this entry knows of an agent's data centre, nil when it does
// not know the data centre. The caller holds mu.
func (b *Broker) evacuationState(dataCentre string) *wire.EvacuationState {
	if b.opts.View == nil || dataCentre == "" {
		return nil
	}
	cfg, age := b.opts.View.Confirmed()
	return &wire.EvacuationState{Version: cfg.Version(), Age: age, Evacuated: evac.Active(cfg.Item(evac.Key(dataCentre)))}
}
