// Guards against a prompt part that crashes engine after engine, as each request that holds it is
// new, and against verdicts on parts that merely come with it.
#include <criterion/criterion.h>

#include <random>
#include <set>

#include "relay/support/exchanging_fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineStage;

namespace {

constexpr std::uint64_t kCommonPart = 11;  ///< First part of sound and crashing requests.
constexpr std::uint64_t kCrashingPart = 666;
constexpr std::uint64_t kSoundParts = 5;

/// Nodes, engines that crash when they begin to answer a request with one part, and callers that
/// send each request once.
class CrashingFleet {
 public:
  static constexpr Duration kStep = 10ms;
  static constexpr Duration kTimeToAnswer = 60ms;
  static constexpr Duration kTimeToRestart = 2s;

  explicit CrashingFleet(std::size_t nodes, std::size_t engines = 5) : fleet(nodes, 2) {
    for (std::size_t i = 0; i < nodes; ++i) this->fleet.sites[i]->node->set_engines({});
    for (std::size_t i = 0; i < engines; ++i) this->start_engine();
    this->run(3s);
  }

  void run(Duration duration) {
    for (Duration passed{}; passed < duration; passed += kStep) this->step();
  }

  void set_rates(double sound, double crashing) {
    this->sound_rate = sound;
    this->crashing_rate = crashing;
  }

  /// Crashing requests that reached an engine, from now on.
  std::size_t crashing_sends = 0;
  std::size_t crashes = 0;
  std::size_t sound_requests = 0;
  std::size_t sound_answers = 0;
  /// Shared parts of a crashing request; a sound one has another in place of the crashing part.
  std::vector<std::uint64_t> crashing_parts = {kCommonPart, kCrashingPart};

  ExchangingFleet fleet;

 private:
  struct Attempt {
    std::size_t node = 0;
    std::size_t transfer = 0;
    std::string engine;
    bool crashing = false;
    MonotonicTime answer_at;
  };

  void start_engine() {
    const std::string id = "e" + std::to_string(++this->engine_count);
    this->alive.insert(id);
    for (const auto& site : this->fleet.sites) site->add_engine(id, "model", EngineStage::kDecode);
  }

  void crash(const std::string& engine) {
    ++this->crashes;
    this->alive.erase(engine);
    std::vector<Attempt> broken;
    std::erase_if(this->attempts, [&](const Attempt& attempt) {
      if (attempt.engine == engine) broken.push_back(attempt);
      return attempt.engine == engine;
    });
    for (const Attempt& attempt : broken) {
      this->fleet.sites[attempt.node]->http.fail(attempt.transfer, TransferFailure::kUncertain);
    }
    this->restarts.emplace_back(this->now() + kTimeToRestart, engine);
  }

  void step() {
    this->fleet.runtime.advance(kStep);
    for (const auto& site : this->fleet.sites) site->runtime.advance(kStep);
    while (!this->restarts.empty() && this->restarts.front().first <= this->now()) {
      for (const auto& site : this->fleet.sites) {
        site->node->remove_engine(this->restarts.front().second);
      }
      this->restarts.erase(this->restarts.begin());
      this->start_engine();
    }
    this->send_requests(this->sound_rate, false);
    this->send_requests(this->crashing_rate, true);
    for (std::size_t i = 0; i < this->fleet.sites.size(); ++i) this->deliver(i);
    const auto open = this->attempts;
    for (const Attempt& attempt : open) {
      if (attempt.answer_at > this->now() || this->alive.count(attempt.engine) == 0) continue;
      if (attempt.crashing) {
        this->crash(attempt.engine);
      } else {
        this->answer(attempt);
      }
    }
  }

  void answer(const Attempt& attempt) {
    std::erase_if(this->attempts, [&](const Attempt& other) {
      return other.node == attempt.node && other.transfer == attempt.transfer;
    });
    ScriptedHttpClient& http = this->fleet.sites[attempt.node]->http;
    const std::string id(http.at(attempt.transfer).request.headers.get("id"));
    ++this->sound_answers;
    http.answer(attempt.transfer, 200, RelayFixture::sealed_headers(id), "id: 1\ndata: a\n\n");
  }

  void send_requests(double per_second, bool crashing) {
    std::poisson_distribution<int> arrivals(std::max(1e-9, per_second * to_seconds(kStep)));
    for (int left = arrivals(this->random); left > 0; --left) {
      const std::string number = std::to_string(++this->request_count);
      std::string parts;
      for (const std::uint64_t part : this->crashing_parts) {
        const bool replaced = part == kCrashingPart && !crashing;
        const std::uint64_t sound_part = 100 + this->random() % kSoundParts;
        parts += std::to_string(replaced ? sound_part : part) + " ";
      }
      if (!crashing) ++this->sound_requests;
      const std::size_t node = this->random() % this->fleet.sites.size();
      this->fleet.sites[node]->caller_address = "10.0.0." + std::to_string(this->random() % 40);
      this->fleet.sites[node]->request("/resumable/a",
                                       {{"id", "r" + number},
                                        {"tokens", "300"},
                                        {"parts", parts + "1000" + number},
                                        {"crashing", crashing ? "1" : "0"}},
                                       "POST", "body " + number);
    }
  }

  /// Takes the new transfers of a node to the engines.
  void deliver(std::size_t node) {
    ScriptedHttpClient& http = this->fleet.sites[node]->http;
    for (std::size_t& next = this->next_transfers[node]; next < http.count();) {
      const std::size_t transfer = next++;
      const SentRequest& sent = http.at(transfer);
      if (sent.done || sent.cancelled) continue;
      const std::string host = sent.request.url.substr(7, sent.request.url.find(':', 7) - 7);
      if (this->alive.count(host) == 0) {
        http.refuse_connection(transfer);
        continue;
      }
      if (sent.request.url.find("/report") != std::string::npos) {
        http.answer(transfer, 200, {}, "decode");
        continue;
      }
      const bool crashing = sent.request.headers.get("crashing") == "1";
      this->crashing_sends += crashing ? 1 : 0;
      this->attempts.push_back({node, transfer, host, crashing, this->now() + kTimeToAnswer});
    }
  }

  MonotonicTime now() const { return this->fleet.runtime.now(); }

  std::mt19937_64 random{1};
  double sound_rate = 0;
  double crashing_rate = 0;
  std::size_t engine_count = 0;
  std::size_t request_count = 0;
  std::set<std::string> alive;
  std::vector<Attempt> attempts;
  std::vector<std::pair<MonotonicTime, std::string>> restarts;
  std::map<std::size_t, std::size_t> next_transfers;
};

}  // namespace

// Guards against crashing requests that are sent on once five engines have crashed under a part.
Test(crashing_part, is_no_longer_sent_soon_after_five_crashes) {
  CrashingFleet site(5);
  site.set_rates(40, 0);
  site.run(3s);
  site.set_rates(40, 4);
  for (int i = 0; i < 2000 && site.crashes < 5; ++i) site.run(10ms);
  site.run(3s);
  site.crashing_sends = 0;
  site.run(10s);
  cr_assert_leq(site.crashing_sends, 3);
  cr_assert_leq(site.crashes, 8);
}

// Guards against sound requests that are held back for a part that they share with crashing ones.
Test(crashing_part, does_not_hold_back_requests_with_the_other_parts) {
  CrashingFleet site(5);
  site.set_rates(40, 0);
  site.run(3s);
  const double before =
      static_cast<double>(site.sound_answers) / static_cast<double>(site.sound_requests);
  site.set_rates(40, 4);
  for (int i = 0; i < 2000 && site.crashes < 5; ++i) site.run(10ms);
  site.run(6s);
  site.sound_requests = 0;
  site.sound_answers = 0;
  site.run(10s);
  const double after =
      static_cast<double>(site.sound_answers) / static_cast<double>(site.sound_requests);
  cr_assert_gt(site.sound_requests, 300);
  cr_assert_geq(after, 0.9 * before);
}

// Guards against a first part that is found only through the parts that follow it.
Test(crashing_part, may_be_the_first_part) {
  CrashingFleet site(5);
  site.crashing_parts = {kCrashingPart, kCommonPart};
  site.set_rates(40, 0);
  site.run(3s);
  site.set_rates(40, 4);
  for (int i = 0; i < 2000 && site.crashes < 5; ++i) site.run(10ms);
  site.run(3s);
  site.crashing_sends = 0;
  site.sound_requests = 0;
  site.sound_answers = 0;
  site.run(10s);
  cr_assert_leq(site.crashing_sends, 3);
  cr_assert_geq(static_cast<double>(site.sound_answers),
                0.9 * static_cast<double>(site.sound_requests));
}

// Guards against callers and operators who cannot tell what is held back.
Test(crashing_part, is_named_to_callers_and_operators_and_can_be_let_go) {
  CrashingFleet site(3);
  site.set_rates(0, 4);
  for (int i = 0; i < 3000 && site.crashes < 3; ++i) site.run(10ms);
  site.set_rates(0, 0);
  site.run(4s);
  RelayFixture& node = *site.fleet.sites[1];
  const auto held = node.node->quarantine().quarantined();
  cr_assert_eq(held.size(), 2, "both parts were in all of the requests");
  const std::string parts =
      std::to_string(kCommonPart) + " " + std::to_string(kCrashingPart) + " 5";
  const HttpHeaders fields{{"tokens", "300"}, {"parts", parts}};
  const auto reply = node.request("/resumable/a", fields, "POST", "another");
  cr_assert_eq(reply->status, 429);
  cr_assert_neq(reply->body.find("prompt part"), std::string::npos);
  for (const relay::QuarantinedRequest& entry : held) {
    cr_assert(node.node->quarantine().release(entry.request));
  }
  const std::size_t sent = node.http.count();
  node.request("/resumable/a", fields, "POST", "another");
  cr_assert_eq(node.http.count(), sent + 1);
}
