// Guard against engine profiles that stay unknown to other nodes, and against samples of times that
// are not the engine's.
#include <criterion/criterion.h>

#include <algorithm>
#include <string>

#include "common/hash.hpp"
#include "relay/support/exchanging_fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineSamples;
using relay::EngineStage;

namespace {

constexpr std::uint32_t kGapTargetMs = 200;

/// A node with a prefill and a decode engine, which keeps the samples that it would send.
struct SampledSite : RelayFixture {
  SampledSite() {
    relay::RouteConfiguration configuration = RelayFixture::configuration(99);
    for (relay::Route& route : configuration.routes) {
      if (route.kind == relay::RouteKind::kStream)
        route.gap_target = std::chrono::milliseconds(kGapTargetMs);
    }
    cr_assert(node->adopt(std::move(configuration)));
    node->on_load_changed([] {});
    add_engine("p", "model", EngineStage::kPrefill);
    add_engine("d", "model", EngineStage::kDecode);
  }

  /// Serves a request with a remote prefill.
  /// @param load as in TestDialect::parse_load, sent with both answers.
  void serve(Duration prefill_time, const std::vector<Duration>& gaps,
             const std::string& load = "") {
    const std::size_t first = http.count();
    request("/stream/a", {{"tokens", "20000"}});
    runtime.advance(prefill_time);
    HttpHeaders headers = sealed_headers();
    if (!load.empty()) headers.add("load", load);
    http.answer(first, 200, headers, "h1");
    http.begin(first + 1, 200, headers);
    runtime.advance(20ms);
    int event = 0;
    const auto send_event = [&] {
      http.piece(first + 1, "id: " + std::to_string(++event) + "\ndata: a\n\n");
    };
    send_event();
    for (const Duration gap : gaps) {
      runtime.advance(gap);
      send_event();
    }
    http.finish(first + 1);
  }

  EngineSamples samples_of(const std::string& engine) {
    const auto samples = node->take_samples();
    const auto found = samples.find(EngineId(engine));
    return found == samples.end() ? EngineSamples{} : found->second;
  }
};

/// Advances the time of the exchange and of the nodes.
void advance_all(ExchangingFleet& fleet, Duration duration) {
  for (const auto& site : fleet.sites) site->runtime.advance(duration);
  fleet.runtime.advance(duration);
}

EngineSamples late_stream() {
  EngineSamples samples;
  samples.streams = 1;
  samples.interval_ms = 60;
  samples.longest_gap_ms = 250;
  samples.late_streams = 1;
  return samples;
}

}  // namespace

Test(engine_samples, prefill_and_stream_of_one_request_are_sampled) {
  SampledSite site;
  // 5 ms and 1/40 ms for each of 20,000 tokens are expected.
  site.serve(1010ms, {50ms, 250ms, 60ms});
  const auto samples = site.node->take_samples();
  const EngineSamples& prefill = samples.at(EngineId("p"));
  cr_assert_eq(prefill.prefills, 1);
  cr_assert_eq(prefill.prefill_percent, 200);
  cr_assert_eq(prefill.streams, 0);
  const EngineSamples& stream = samples.at(EngineId("d"));
  cr_assert_eq(stream.prefills, 0);
  cr_assert_eq(stream.streams, 1);
  cr_assert_eq(stream.interval_ms, 120);
  cr_assert_eq(stream.longest_gap_ms, 250);
  cr_assert_eq(stream.late_streams, 1);
  cr_assert(site.node->engines().find(EngineId("d"))->profile.known(), "applied at once");
}

Test(engine_samples, prefill_at_an_engine_with_a_queue_is_not_sampled) {
  SampledSite site;
  site.serve(1010ms, {50ms}, "2 100");
  cr_assert_eq(site.samples_of("p").prefills, 0);
}

Test(engine_samples, prefill_behind_other_work_is_not_sampled) {
  SampledSite site;
  site.node->engines().on_peer_load(site.runtime.now(), NodeId("n2"),
                                    {{EngineId("p"), {1, 15000, 0}}});
  site.serve(1010ms, {50ms});
  cr_assert_eq(site.samples_of("p").prefills, 0);
}

Test(engine_samples, reported_slowdown_corrects_the_sample_and_is_passed_on) {
  SampledSite site;
  site.serve(1010ms, {50ms}, "0 200");
  const EngineSamples prefill = site.samples_of("p");
  cr_assert_eq(prefill.prefill_percent, 100);
  cr_assert_eq(prefill.slowdown_percent, 200);
}

Test(engine_samples, broken_off_and_resumed_streams_are_not_sampled) {
  SampledSite site;
  site.add_engine("d2", "model", EngineStage::kDecode);
  site.request("/resumable/a", {{"tokens", "100"}});
  site.http.begin(0, 200, RelayFixture::sealed_headers());
  site.http.piece(0, "id: 1\ndata: a\n\n");
  site.runtime.advance(900ms);
  site.http.fail(0, TransferFailure::kUncertain);
  site.http.begin(1, 200, RelayFixture::sealed_headers());
  for (int event = 2; event < 5; ++event) {
    site.runtime.advance(50ms);
    site.http.piece(1, "id: " + std::to_string(event) + "\ndata: a\n\n");
  }
  site.http.finish(1);
  cr_assert(site.node->take_samples().empty());
}

Test(engine_samples, reach_all_nodes_of_small_and_large_fleets) {
  for (const std::size_t nodes : {3, 60}) {
    ExchangingFleet fleet(nodes, nodes > 24 ? 4 : 1);
    advance_all(fleet, 4s);
    const auto& sampled = fleet.sites[1]->node;
    // Three streams of one second go out as one or two entries.
    for (int stream = 0; stream < 3; ++stream)
      sampled->queue_samples(EngineId("p1"), late_stream());
    sampled->notify_load_changed();
    advance_all(fleet, 3s);
    for (std::size_t i = 0; i < nodes; ++i) {
      const EngineSamples known = fleet.engine(i).profile.samples(fleet.runtime.now());
      cr_assert_eq(known.longest_gap_ms / std::max(1U, known.streams), 250, "node %zu", i);
      // A node's own samples return with the views of a large fleet.
      const std::uint32_t expected = i == 1 && nodes > 24 ? 6 : 3;
      cr_assert_geq(known.streams, expected - 1, "node %zu: %u", i, known.streams);
      cr_assert_leq(known.streams, expected, "node %zu: %u", i, known.streams);
    }
  }
}

Test(engine_samples, starting_node_takes_them_over_with_the_caches) {
  ExchangingFleet fleet(3);
  advance_all(fleet, 3s);
  for (const auto& site : fleet.sites) {
    site->node->on_peer_prompt_read({EngineId("p1"), {{11, 900}, {12, 80}}});
    for (int i = 0; i < 20; ++i) {
      site->node->engines().on_samples(fleet.runtime.now(), EngineId("p1"), late_stream());
    }
  }
  relay::LoadExchangeSettings joining;
  joining.join_existing = true;
  fleet.add(joining);
  advance_all(fleet, 1s);
  const EngineSamples known = fleet.engine(3).profile.samples(fleet.runtime.now());
  cr_assert_geq(known.streams, 18);
  cr_assert_eq(known.late_streams, known.streams);
}

Test(engine_samples, bytes_of_a_view_do_not_grow_with_the_requests) {
  // 640 engines and 2,800 requests a second, each with two samples.
  constexpr int kEngines = 640;
  constexpr int kSeconds = 3;
  std::size_t received[2] = {};
  for (const bool sampling : {false, true}) {
    ExchangingFleet fleet(40, 4);
    for (const auto& site : fleet.sites) {
      for (int i = 0; i < kEngines; ++i) {
        site->add_engine("engine-" + std::to_string(i), "model", EngineStage::kDecode);
      }
    }
    advance_all(fleet, 3s);
    const auto collectors = fleet.collectors();
    std::size_t member = 0;
    while (collectors.count(member) > 0) ++member;
    const std::size_t before = fleet.transports[member]->received_bytes;
    std::uint64_t draws = 0;
    for (int ms = 0; ms < kSeconds * 1000; ms += 10) {
      for (int sample = 0; sample < 56; ++sample) {
        const std::uint64_t draw = hash64("draw", ++draws);
        relay::RelayNode& node = *fleet.sites[draw % fleet.sites.size()]->node;
        const EngineId engine("engine-" + std::to_string(draw / 100 % kEngines));
        if (sampling) node.queue_samples(engine, late_stream());
        node.notify_load_changed();
      }
      advance_all(fleet, 10ms);
    }
    received[sampling ? 1 : 0] = fleet.transports[member]->received_bytes - before;
  }
  const std::size_t per_second = (received[1] - received[0]) / kSeconds;
  cr_assert_gt(per_second, 500, "%zu bytes a second", per_second);
  cr_assert_leq(per_second, 4000, "%zu bytes a second", per_second);
}
