package route

// PriceScorer converts the price of the endpoint into seconds, divided by the
// worth of the rank: the price matters less for urgent requests.
type PriceScorer struct{}

// Name implements Scorer.
func (PriceScorer) Name() string { return "price" }

// Seconds implements Scorer.
func (PriceScorer) Seconds(in *Input, v *View) float64 {
	return in.PriceWeight * v.Price / in.Rank.Worth
}
