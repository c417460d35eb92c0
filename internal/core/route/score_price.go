package route

// PriceScorer converts the price of the endpoint into seconds. The worth of
// the rank divides it: urgent work pays more for speed.
type PriceScorer struct{}

// Name implements Scorer.
func (PriceScorer) Name() string { return "price" }

// Seconds implements Scorer.
func (PriceScorer) Seconds(ctx *Input, v *View) float64 {
	return ctx.PriceWeight * v.Price / ctx.Rank.Worth
}
