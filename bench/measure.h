#ifndef LIMPETLEVER_BENCH_MEASURE_H_
#define LIMPETLEVER_BENCH_MEASURE_H_

#include <string>
#include <vector>

namespace limpetlever {

/** One value of a run and that of the baseline, which lacks the mechanism under test. */
struct measure {
  /** Key in bounds.json, for example "straggler_p99_ratio". */
  std::string name;
  double baseline = 0.0;
  double result = 0.0;

  bool operator==(const measure&) const = default;
};

/** A benchmark in simulated time: `run` gives the same measures each time for the same seed. */
struct bench_case {
  std::string name;
  std::vector<measure> (*run)(unsigned seed);
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_BENCH_MEASURE_H_
