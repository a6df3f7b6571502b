#ifndef REVIEW_STANDIN_2_CASES_H_
#define REVIEW_STANDIN_2_CASES_H_

namespace review {

class stage;

/** Each plays one case and returns an exit_code. */
int RunShortOutage(stage& on);
int RunOddKey(stage& on);
int RunColdReplica(stage& on);
int RunLateCheckIn(stage& on);
int RunOddNumber(stage& on);
int RunPoison(stage& on);

}  // namespace review

#endif  // REVIEW_STANDIN_2_CASES_H_
