package binenc

import (
	"maps"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
)

func appendScalingSheet(b []byte, sheet *api.ScalingSheet) []byte {
	b = AppendBool(b, sheet != nil)
	if sheet == nil {
		return b
	}
	b = AppendInt(b, int64(sheet.Min))
	b = AppendInt(b, int64(sheet.Max))
	b = AppendInt(b, sheet.BootMillis)
	b = AppendFloat(b, sheet.WithdrawablePrice)
	b = AppendUint(b, uint64(len(sheet.ZonePrices)))
	for _, zone := range slices.Sorted(maps.Keys(sheet.ZonePrices)) {
		b = AppendString(b, zone)
		b = AppendFloat(b, sheet.ZonePrices[zone])
	}
	return b
}

func (r *Reader) scalingSheet() *api.ScalingSheet {
	const minimumPriceBytes = 9
	if !r.Bool() {
		return nil
	}
	sheet := &api.ScalingSheet{Min: int(r.Int()), Max: int(r.Int()), BootMillis: r.Int(), WithdrawablePrice: r.Float()}
	prices := r.Count(minimumPriceBytes)
	previous := ""
	for i := 0; i < prices && r.err == nil; i++ {
		zone := r.String()
		if i > 0 && zone <= previous {
			r.Fail(ErrMalformed)
			return nil
		}
		previous = zone
		if sheet.ZonePrices == nil {
			sheet.ZonePrices = map[string]float64{}
		}
		sheet.ZonePrices[zone] = r.Float()
	}
	return sheet
}

func appendCapacity(b []byte, o *api.Capacity) []byte {
	b = appendMetadata(b, o.Metadata)
	b = AppendInt(b, int64(o.Spec.Found))
	b = AppendInt(b, int64(o.Spec.Lasting))
	b = AppendInt(b, int64(o.Spec.Withdrawable))
	return AppendString(b, o.Spec.Reason)
}

func (r *Reader) capacity() *api.Capacity {
	return &api.Capacity{Metadata: r.metadata(), Spec: api.CapacitySpec{
		Found:        int(r.Int()),
		Lasting:      int(r.Int()),
		Withdrawable: int(r.Int()),
		Reason:       r.String(),
	}}
}
