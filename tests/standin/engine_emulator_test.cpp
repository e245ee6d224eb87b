#include "standin/engine_emulator.hpp"

#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;

namespace {

const std::vector<ModelSpec> kModels{{"m", "1", {"a"}}};

EngineJob job(const std::string& name, std::uint64_t prompt_length, std::uint32_t output_length) {
  EngineJob job;
  job.request = RequestId(name);
  job.attempt = AttemptId(name + ".1");
  job.model = "m";
  job.prompt_tokens = prompt_length;
  job.output_tokens = output_length;
  return job;
}

}  // namespace

Test(engine_emulator, every_job_gets_each_token_once_in_order) {
  SHUNTBANK_PROPERTY("tokens resume_from .. output", [] {
    EngineEmulator engine(EngineCosts{}, kModels);
    std::map<AttemptId, std::uint32_t> next;
    std::map<AttemptId, EngineJob> jobs;
    const int count = *rc::gen::inRange(1, 30);
    for (int i = 0; i < count; ++i) {
      EngineJob submitted =
          job("r" + std::to_string(i), *rc::gen::inRange(1, 3000), *rc::gen::inRange(1, 40));
      submitted.resume_from = *rc::gen::inRange<std::uint32_t>(0, submitted.output_tokens);
      next[submitted.attempt] = submitted.resume_from;
      jobs[submitted.attempt] = submitted;
      RC_ASSERT(engine.submit({}, submitted) == SubmitResult::kAccepted);
    }
    int finished = 0;
    for (MonotonicTime now{}; now < MonotonicTime{} + 60s; now += 10ms) {
      for (const EngineEvent& event : engine.advance(now)) {
        if (event.kind == EngineEvent::Kind::kToken)
          RC_ASSERT(event.index == next[event.attempt]++);
        if (event.kind == EngineEvent::Kind::kFinished) ++finished;
      }
    }
    RC_ASSERT(finished == count);
    for (const auto& [attempt, submitted] : jobs)
      RC_ASSERT(next[attempt] == submitted.output_tokens);
  });
}

Test(engine_emulator, a_cached_prefix_makes_prefill_shorter) {
  const auto first_token = [](EngineEmulator& engine, const EngineJob& submitted,
                              MonotonicTime start) {
    engine.submit(start, submitted);
    for (MonotonicTime now = start;; now += 1ms) {
      if (!engine.advance(now).empty()) return now - start;
    }
  };
  EngineEmulator engine(EngineCosts{}, kModels);
  EngineJob submitted = job("a", 4000, 1);
  submitted.blocks = prefix_blocks(std::string(16'000, 'x'));
  const Duration cold = first_token(engine, submitted, {});
  submitted.attempt = AttemptId("b.1");
  const Duration warm = first_token(engine, submitted, MonotonicTime{} + 10s);
  cr_assert_lt(warm.count() * 5, cold.count());
}

Test(engine_emulator, a_crash_loses_fence_and_jobs) {
  EngineEmulator engine(EngineCosts{}, kModels);
  engine.claim(4);
  engine.submit({}, job("a", 10, 100));
  engine.restart(MonotonicTime{} + 100ms);
  cr_assert_eq(engine.state().stamp.fence, 0);
  cr_assert_eq(engine.state().active, 0);
  cr_assert_eq(engine.executions()[0].end, Execution::End::kInterrupted);
}

Test(engine_emulator, refuses_jobs_it_cannot_run) {
  EngineEmulator engine(EngineCosts{}, kModels);
  EngineJob other = job("a", 10, 1);
  other.model = "n";
  cr_assert_eq(engine.submit({}, other), SubmitResult::kUnknownModel);
  engine.claim(1);
  engine.order({}, {{1, 1}, {EngineRole::kDecode, kModels, true}});
  cr_assert_eq(engine.submit({}, job("b", 10, 1)), SubmitResult::kChangeInProgress);
  engine.advance(MonotonicTime{} + 5s);
  cr_assert_eq(engine.submit(MonotonicTime{} + 5s, job("b", 10, 1)), SubmitResult::kAccepted);
}
