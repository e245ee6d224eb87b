#include "core/requests/request_progress.hpp"

#include <set>

#include "core/requests/retry_budget.hpp"
#include "support/property.hpp"

using namespace shuntbank;

Test(request_progress, drops_late_chunks_of_an_abandoned_attempt) {
  RequestProgress progress(RequestId("r"), true, 3);
  const AttemptId first = progress.begin_attempt();
  cr_assert_eq(progress.accept_chunk(first, 0), ChunkVerdict::kDeliver);
  const auto decision = progress.on_attempt_failed(AttemptFailure::kUncertain, true);
  cr_assert_eq(std::get<Redispatch>(decision).resume_from, 1);
  cr_assert_eq(progress.accept_chunk(first, 1), ChunkVerdict::kDrop);
  const AttemptId second = progress.begin_attempt();
  cr_assert_eq(progress.accept_chunk(first, 1), ChunkVerdict::kDrop);
  cr_assert_eq(progress.accept_chunk(second, 0), ChunkVerdict::kDrop);
  cr_assert_eq(progress.accept_chunk(second, 2), ChunkVerdict::kGap);
  cr_assert_eq(progress.accept_chunk(second, 1), ChunkVerdict::kDeliver);
}

Test(request_progress, holds_its_guarantees_under_random_failures) {
  // Model: an attempt runs at the engine unless nothing was sent or the engine refused it. A
  // request that is not repeatable runs at most once, `not_run` is reported only if nothing ran,
  // and the delivered indices are 0, 1, 2, ... without gaps or repeats.
  SHUNTBANK_PROPERTY("at most one run, correct outcome, complete answer", [] {
    const bool repeatable = *rc::gen::arbitrary<bool>();
    RequestProgress progress(RequestId("r"), repeatable, *rc::gen::inRange(1U, 5U));
    int runs = 0;
    std::uint32_t next = 0;
    std::set<AttemptId> attempts;
    while (true) {
      const AttemptId attempt = progress.begin_attempt();
      RC_ASSERT(attempts.insert(attempt).second);
      const auto failure = *rc::gen::element(AttemptFailure::kNothingSent, AttemptFailure::kRefused,
                                             AttemptFailure::kUncertain);
      if (failure == AttemptFailure::kUncertain) {
        ++runs;
        for (const auto index : *rc::gen::container<std::vector<std::uint32_t>>(
                 rc::gen::inRange<std::uint32_t>(0, next + 3))) {
          const AttemptId from = *rc::gen::elementOf(attempts);
          const ChunkVerdict verdict = progress.accept_chunk(from, index);
          RC_ASSERT((verdict == ChunkVerdict::kDeliver) == (from == attempt && index == next));
          if (verdict == ChunkVerdict::kDeliver) ++next;
        }
      }
      const auto decision = progress.on_attempt_failed(failure, *rc::gen::arbitrary<bool>());
      if (const auto* abort_request = std::get_if<AbortRequest>(&decision)) {
        RC_ASSERT((abort_request->outcome == RequestOutcome::kNotRun) == (runs == 0));
        break;
      }
      RC_ASSERT(std::get<Redispatch>(decision).resume_from == next);
      RC_ASSERT(repeatable || runs == 0);
    }
    RC_ASSERT(repeatable || runs <= 1);
  });
}

Test(request_progress, a_partial_run_rules_out_not_run) {
  RequestProgress progress(RequestId("r"), false, 3);
  progress.begin_attempt();
  progress.on_partial_run();
  const auto decision = progress.on_attempt_failed(AttemptFailure::kRefused, true);
  cr_assert_eq(std::get<AbortRequest>(decision).outcome, RequestOutcome::kUnknown);
}

Test(request_progress, an_attempt_in_flight_is_unknown) {
  RequestProgress progress(RequestId("r"), true, 3);
  cr_assert_eq(progress.outcome_if_abandoned(), RequestOutcome::kNotRun);
  progress.begin_attempt();
  cr_assert_eq(progress.outcome_if_abandoned(), RequestOutcome::kUnknown);
}

Test(retry_budget, bounds_retries_to_a_share_of_requests) {
  RetryBudget budget(0.1, 5);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.on_request();
    if (budget.try_withdraw()) ++retries;
  }
  cr_assert_leq(retries, 105);
  cr_assert_geq(retries, 100);
}
