package router

func (r *Router) gauges() {
	r.meter.Gauge("requests-in-progress", func() float64 { return float64(r.InProgress()) })
}
