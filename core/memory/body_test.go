package memory_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"balsamproxy/core/memory"
)

// add adds bytes to a body and reports whether the budget had memory for all of them.
func add(body *memory.Body, data []byte) bool {
	for len(data) > 0 {
		if len(body.Space()) == 0 && !body.Grow() {
			return false
		}
		count := copy(body.Space(), data)
		body.Extend(count)
		data = data[count:]
	}
	return true
}

// TestBodyReturnsItsContent guards against bytes that are lost or repeated between
// pieces, for readers that each read the whole body for another attempt.
func TestBodyReturnsItsContent(t *testing.T) {
	for _, length := range []int{0, 1, 4 << 10, 4<<10 + 1, 64 << 10, 64<<10 + 1, 300_000} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			budget := memory.NewBudget(1<<20, 1<<20)
			want := make([]byte, length)
			_, _ = rand.NewChaCha8([32]byte{}).Read(want)
			body := budget.NewBody()
			assert.Assert(t, add(body, want))
			for range 2 {
				got, err := io.ReadAll(body.NewReader())
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(got, want))
			}
			assert.Assert(t, budget.Usage().Total < int64(length)+(32<<10), "%v", budget.Usage())
			body.Release()
			body.Release()
			assert.Equal(t, budget.Usage(), memory.Usage{})
		})
	}
}

// TestReleasedBodyHasNoEnd guards against a reader that takes the point of release for
// the end of the body, or reads memory that another body has taken over.
func TestReleasedBodyHasNoEnd(t *testing.T) {
	budget := memory.NewBudget(1<<20, 1<<20)
	body := budget.NewBody()
	assert.Assert(t, add(body, bytes.Repeat([]byte("a"), 200_000)))
	reader := body.NewReader()
	_, err := io.CopyN(io.Discard, reader, 100_000)
	assert.NilError(t, err)
	body.Release()
	other := budget.NewBody()
	assert.Assert(t, add(other, bytes.Repeat([]byte("b"), 200_000)))
	count, err := reader.Read(make([]byte, 10))
	assert.Equal(t, count, 0)
	assert.ErrorIs(t, err, memory.ErrReleased)
}

// TestSmallBodiesFitBesideLargeOnes guards against large bodies, and bodies of
// responses, that use up the memory for small ones.
func TestSmallBodiesFitBesideLargeOnes(t *testing.T) {
	cases := map[string]func(*memory.Budget){
		"one large body": func(budget *memory.Budget) { add(budget.NewBody(), make([]byte, 10<<20)) },
		"large bodies": func(budget *memory.Budget) {
			for range 20 {
				if body := budget.NewBody(); !add(body, make([]byte, 1<<20)) {
					body.Release()
				}
			}
		},
		"bodies that were small at first": func(budget *memory.Budget) {
			bodies := make([]*memory.Body, 20)
			for round := range 20 {
				for index := range bodies {
					if round == 0 {
						bodies[index] = budget.NewBody()
					}
					add(bodies[index], make([]byte, 60<<10))
				}
			}
		},
		"responses": func(budget *memory.Budget) {
			for range 1000 {
				budget.Grow(0, 32<<10)
			}
		},
	}
	for name, fill := range cases {
		t.Run(name, func(t *testing.T) {
			budget := memory.NewBudget(9<<20, 8<<20)
			fill(budget)
			assert.Assert(t, !budget.Fits(1<<20))
			for range 8 {
				assert.Assert(t, add(budget.NewBody(), make([]byte, memory.SmallBytes)))
			}
		})
	}
}

// TestChargeIsReturned guards against a header whose memory stays counted, which would
// leave less and less for others.
func TestChargeIsReturned(t *testing.T) {
	budget := memory.NewBudget(1<<20, 1<<20)
	body := budget.NewBody()
	assert.Assert(t, body.Charge(10_000))
	assert.Equal(t, budget.Usage().Requests, int64(10_000))
	assert.Assert(t, !budget.NewBody().Charge(2<<20))
	body.Release()
	assert.Equal(t, budget.Usage(), memory.Usage{})
}

// BenchmarkUploads reports the share of refused uploads and the memory per held byte,
// for offers of 0.5, 1 and 2 times what fits into the budget. Uploads arrive in turns
// of 32 KiB each, and hold their memory to the end.
func BenchmarkUploads(b *testing.B) {
	const budgetBytes = 69 << 20
	for length := 64 << 10; length <= 64<<20; length *= 4 {
		for _, offer := range []float64{0.5, 1, 2} {
			b.Run(fmt.Sprintf("%dKiB/%v", length>>10, offer), func(b *testing.B) {
				refused, held, received := 0, int64(0), int64(0)
				count := max(1, int(offer*budgetBytes)/length)
				for b.Loop() {
					budget := memory.NewBudget(budgetBytes, budgetBytes)
					bodies := upload(budget, count, length)
					refused += count - len(bodies)
					held += budget.Usage().Requests
					for _, body := range bodies {
						received += body.Len()
						body.Release()
					}
				}
				b.ReportMetric(float64(refused)/float64(b.N*count), "refused/upload")
				b.ReportMetric(float64(held)/float64(max(received, 1)), "held/byte")
			})
		}
	}
}

var errRefused = errors.New("refused")

// upload returns the bodies that the budget holds of some uploads that arrive at once.
func upload(budget *memory.Budget, count, length int) []*memory.Body {
	bodies := make([]*memory.Body, count)
	chunk := make([]byte, 32<<10)
	receive := func(index int) error {
		if bodies[index] == nil {
			if !budget.Fits(int64(length)) {
				return errRefused
			}
			bodies[index] = budget.NewBody()
		}
		if !add(bodies[index], chunk) {
			return errRefused
		}
		return nil
	}
	refused := make([]bool, count)
	for range length / len(chunk) {
		for index := range bodies {
			if refused[index] {
				continue
			}
			if receive(index) != nil {
				refused[index] = true
				if bodies[index] != nil {
					bodies[index].Release()
				}
			}
		}
	}
	kept := []*memory.Body{}
	for index, body := range bodies {
		if !refused[index] {
			kept = append(kept, body)
		}
	}
	return kept
}
