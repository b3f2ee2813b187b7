package placement

// isPaced reports whether a replica of the service has reported its slowness. Services whose replicas do not are
// placed by the read times of the roles alone.
func (b *Board) isPaced() bool { return b.paced }

// recordSlowness records that a replica reported its slowness.
func (b *Board) recordSlowness(report ProgressReport) {
	if report.ReportedSlowness > 0 {
		b.paced = true
	}
}
