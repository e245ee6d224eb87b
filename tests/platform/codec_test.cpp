#include "platform/codec.hpp"

#include <algorithm>
#include <random>

#include "common/hash.hpp"
#include "platform/dialect.hpp"
#include "platform/store_client.hpp"
#include "protocol/load_message.hpp"
#include "relay/support/fakes.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace shuntbank::platform_adapter;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const char* const kConfiguration = R"({"version":7,"routes":[
 {"name":"r","host":"h.example","path_prefix":"/a/","kind":"stream","timeout_ms":6000,"slo_ms":800,
  "priority":2,"split":[{"service":"m","weight":90},{"service":"p","weight":10}],"max_attempts":2,
  "affinity":true,"resumable":true,"gap_target_ms":300}],
 "services":[{"name":"m","max_conns":360,"engine":{"slots":64,"kv_tokens":433612,
  "kv_token_bytes":18432,"link_mbps":370000.0,"kv_ttl_s":5.0,"switch_s":2.3}},{"name":"p"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
  "idle_timeout_ms":15000}})";

/// Parsed from text, since a JSON number made from an `int` would be signed.
json engine_entry() {
  return json::parse(R"({"service":"m","addr":"10.1.1.1:80","zone":"z","slots":64,"state":"ready",
    "sequence":3,"version":"v","cold_left_ms":0,"born":1796000000123})");
}

}  // namespace

Test(platform_codec, reads_a_configuration) {
  const auto parsed = ObjectCodec().configuration(json::parse(kConfiguration));
  cr_assert(parsed.has_value());
  cr_assert_eq(parsed->version, 7);
  const relay::Route& route = parsed->routes.at(0);
  cr_assert(route.idempotent());
  cr_assert_eq(route.split.size(), 2);
  cr_assert_eq(route.timeout.count(), 6000000);
  cr_assert_eq(parsed->services.at(0).model->kv_token_bytes, 18432);
  cr_assert_not(parsed->services.at(1).model.has_value());
  cr_assert_eq(parsed->limits.idle_timeout.count(), 15000000);
  cr_assert(relay::check(*parsed).empty());
}

Test(platform_codec, reads_tenants_and_keeps_only_hashes_of_their_keys) {
  json document = json::parse(kConfiguration);
  document["routes"][0]["public"] = true;
  document["tenants"] = {{{"name", "guild"}, {"keys", {"k1", "k2"}}, {"priority", 1}},
                         {{"name", "post"}, {"keys", json::array()}}};
  const auto parsed = ObjectCodec().configuration(document);
  cr_assert(parsed.has_value());
  cr_assert(parsed->routes.at(0).allows_anonymous);
  cr_assert_eq(parsed->tenants->size(), 2);
  const relay::DeclaredTenant& guild = parsed->tenants->at(0);
  cr_assert_eq(guild.priority.value(), 1);
  cr_assert_eq(guild.keys.at(1).sha256, sha256_hex("k2"));
  cr_assert(parsed->tenants->at(1).keys.empty());
}

Test(platform_codec, reads_quotas_in_requests_and_in_tokens) {
  json document = json::parse(kConfiguration);
  const json keys = json::array();
  document["tenants"] = {{{"name", "none"}, {"keys", keys}},
                         {{"name", "zero"}, {"keys", keys}, {"rate_per_s", 0}, {"burst", 5}},
                         {{"name", "requests"}, {"keys", keys}, {"rate_per_s", 12.5}},
                         {{"name", "tokens"},
                          {"keys", keys},
                          {"rate_per_s", 982686},
                          {"burst", 491343},
                          {"unit", "tokens"},
                          {"uncached_tokens", 200}}};
  const auto parsed = ObjectCodec().configuration(document);
  cr_assert(parsed.has_value());
  const auto& tenants = *parsed->tenants;
  cr_assert_not(tenants.at(0).quota.has_value());
  cr_assert_not(tenants.at(1).quota.has_value());
  cr_assert((tenants.at(2).quota == relay::TenantQuota{12.5, 0, false, 0}));
  cr_assert_eq(tenants.at(2).quota->cost(9000), 1);
  cr_assert((tenants.at(3).quota == relay::TenantQuota{982686, 491343, true, 200}));
  cr_assert_eq(tenants.at(3).quota->cost(9000), 9000);
  cr_assert_eq(tenants.at(3).quota->cost(std::nullopt), 200);
}

Test(platform_codec, a_configuration_without_tenants_has_none) {
  cr_assert_not(ObjectCodec().configuration(json::parse(kConfiguration))->tenants.has_value());
}

Test(platform_dialect, strips_internal_headers_and_the_callers_key) {
  const PlatformDialect dialect;
  const auto& removed = dialect.names().stripped_from_requests;
  for (const char* name :
       {"X-Api-Key", "X-Tenant", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "X-Kv-Source"}) {
    cr_assert(std::find(removed.begin(), removed.end(), name) != removed.end(), "%s", name);
  }
}

Test(platform_codec, handles_corrupted_configurations) {
  std::mt19937 random(20261202);  // NOLINT: repeatable on purpose
  const std::string valid = kConfiguration;
  int refused = 0;
  for (int i = 0; i < 3000; ++i) {
    std::string corrupted = valid;
    for (int k = 0; k < 3; ++k)
      corrupted[random() % corrupted.size()] = static_cast<char>(random() % 128);
    const json document = json::parse(corrupted, nullptr, false);
    if (document.is_discarded() || !ObjectCodec().configuration(document)) ++refused;
  }
  cr_assert_gt(refused, 0);
}

Test(platform_codec, reads_an_engine) {
  json content = engine_entry();
  content["state"] = "draining";
  content["stage"] = "prefill";
  const auto record = ObjectCodec().engine({"i-1", 5, content});
  cr_assert(record.has_value());
  cr_assert(record->draining);
  cr_assert_eq(record->own_name(), "i-1");
  cr_assert_eq(record->started_unix_ms, 1796000000123);
  cr_assert_eq(static_cast<int>(record->stage), static_cast<int>(relay::EngineStage::kPrefill));
  cr_assert_not(ObjectCodec().engine({"i-1", 5, json::array()}).has_value());
}

Test(platform_codec, incarnations_of_one_engine_have_different_ids) {
  json later = engine_entry();
  later["born"] = std::uint64_t{1796000000124};
  cr_assert_neq(ObjectCodec().engine({"i-1", 5, engine_entry()})->id.value(),
                ObjectCodec().engine({"i-1", 6, later})->id.value());
}

Test(platform_codec, rejects_missing_or_invalid_fields) {
  const ObjectCodec codec;
  cr_assert(codec.engine({"i-1", 5, engine_entry()}).has_value());
  json without_born = engine_entry();
  without_born.erase("born");
  cr_assert_eq(codec.engine({"i-1", 5, without_born})->started_unix_ms, 0);
  for (const char* key : {"service", "addr", "zone", "slots", "state", "born"}) {
    json without = engine_entry();
    without.erase(key);
    const bool required = key != std::string("born");
    cr_assert_eq(codec.engine({"i-1", 5, without}).has_value(), !required, "without %s", key);
    for (const json& value :
         {json(), json("x"), json(-1), json(1.5), json(true), json::array({1}), json::object()}) {
      json corrupted = engine_entry();
      corrupted[key] = value;
      const bool is_text =
          value.is_string() && (key == std::string("service") || key == std::string("zone"));
      cr_assert_eq(codec.engine({"i-1", 5, corrupted}).has_value(), is_text, "%s=%s", key,
                   value.dump().c_str());
    }
  }
}

Test(platform_codec, handles_corrupted_engine_entries) {
  std::mt19937 random(20261203);  // NOLINT: repeatable on purpose
  const std::string valid = engine_entry().dump();
  for (int i = 0; i < 3000; ++i) {
    std::string corrupted = valid;
    for (int k = 0; k < 2; ++k)
      corrupted[random() % corrupted.size()] = static_cast<char>(random() % 256);
    const json document = json::parse(corrupted, nullptr, false);
    if (document.is_discarded()) continue;
    const auto record = ObjectCodec().engine({"i-1", 5, document});
    if (!record) continue;
    cr_assert_gt(record->slots, 0);
    cr_assert_not(record->service.empty());
  }
}

Test(platform_store, skips_malformed_entries_and_returns_the_others) {
  ScriptedHttpClient http;
  StoreClient client(http, "10.0.0.1:1");
  tl::expected<store::ObjectList, store::StoreError> listed;
  client.list("servers", store::Freshness::kLatest, 1s,
              [&](auto result) { listed = std::move(result); });
  http.answer(0, 200, {},
              "{\"items\":[{\"meta\":{\"name\":\"a\",\"revision\":3},\"spec\":\"\xff\xfe\"},17,"
              "{\"meta\":{\"name\":4,\"revision\":3}},"
              "{\"meta\":{\"name\":\"b\",\"revision\":4},\"spec\":{}}],\"more\":false,\"at\":11}");
  cr_assert(listed.has_value());
  cr_assert_eq(listed->objects.size(), 2);
  cr_assert_eq(listed->objects.at(1).name, "b");
  tl::expected<store::ChangeBatch, store::StoreError> batch;
  client.watch("servers", 9, store::Freshness::kLatest, 1s, 2s,
               [&](auto result) { batch = std::move(result); });
  http.answer(
      1, 200, {},
      R"({"events":[{"gone":false},{"object":{"meta":{"name":"b","revision":4}}}],"at":12})");
  cr_assert_eq(batch->changes.size(), 1);
  cr_assert_eq(batch->revision, 12);
}

Test(platform_dialect, parses_draining_and_retry_after) {
  using namespace std::chrono_literals;
  const PlatformDialect dialect;
  cr_assert(dialect.parse_notice(200, {{"server-leaving", "1"}}).notice.draining);
  cr_assert_eq(dialect.parse_notice(503, {{"Retry-After", "3"}}).notice.cooldown, Duration(3s));
  cr_assert_eq(dialect.parse_notice(429, {{"Retry-After", "0.25"}}).notice.cooldown,
               Duration(250ms));
  const auto both = dialect.parse_notice(503, {{"Server-Leaving", "1"}, {"Retry-After", "2"}});
  cr_assert(both.notice.draining);
  cr_assert_eq(both.notice.cooldown, Duration(2s));
  cr_assert_eq(dialect.parse_notice(200, {{"Retry-After", "3"}}).notice, relay::EngineNotice(),
               "Retry-After applies to rejections only");
}

Test(platform_dialect, uses_the_longest_retry_after_and_reports_malformed_fields) {
  using namespace std::chrono_literals;
  const PlatformDialect dialect;
  cr_assert_eq(
      dialect.parse_notice(503, {{"Retry-After", "1"}, {"Retry-After", "4"}}).notice.cooldown,
      Duration(4s));
  for (const char* value : {"-1", "soon", "", "1e3", "nan", "inf", "2, 3", "0x10", "3s",
                            "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    const auto parsed = dialect.parse_notice(503, {{"Retry-After", value}});
    cr_assert_not(parsed.notice.cooldown.has_value(), "%s", value);
    cr_assert_eq(parsed.malformed_fields.size(), 1, "%s", value);
  }
  const auto huge =
      dialect.parse_notice(503, {{"Retry-After", std::string(300, '9')}}).notice.cooldown;
  cr_assert(!huge || *huge > 24h, "neither short nor negative");
  cr_assert_eq(dialect.parse_notice(200, {{"Server-Leaving", "0"}}).notice, relay::EngineNotice());
  cr_assert(dialect.parse_notice(200, {{"Server-Leaving", "0"}}).malformed_fields.empty());
  for (const char* value : {"yes", "", "11"}) {
    const auto parsed = dialect.parse_notice(200, {{"Server-Leaving", value}});
    cr_assert_not(parsed.notice.draining);
    cr_assert_eq(parsed.malformed_fields.size(), 1);
  }
}

Test(platform_dialect, parses_the_request_limit) {
  const PlatformDialect dialect;
  const auto limit = [&](const char* value) {
    return dialect.parse_notice(200, {{"server-limit", value}}).notice.limit;
  };
  cr_assert_eq(limit("1.3"), 1.3);
  for (const char* zero : {"0", "0.0"}) cr_assert_eq(limit(zero), 0.0);
  cr_assert_eq(limit(".5"), 0.5);
  cr_assert_eq(limit("20"), 20.0);
  cr_assert_eq(limit(std::string(200, '9').c_str()).has_value(), true, "a huge limit is valid");
  const auto twice = dialect.parse_notice(503, {{"Server-Limit", "4"}, {"Server-Limit", "2"}});
  cr_assert_eq(twice.notice.limit, 2.0, "the lower limit applies");
  cr_assert_not(dialect.parse_notice(200, {}).notice.has_limit);
}

Test(platform_dialect, reports_a_malformed_limit_without_clearing_it) {
  const PlatformDialect dialect;
  for (const char* value :
       {"", "-1", "-0", "+1", "1e3", "nan", "inf", "1,3", "1.3, 2", "two", "0x10", " 1", "1 "}) {
    const auto parsed = dialect.parse_notice(200, {{"Server-Limit", value}});
    cr_assert_not(parsed.notice.limit.has_value(), "%s", value);
    cr_assert(parsed.notice.has_limit, "%s", value);
    cr_assert_eq(parsed.malformed_fields.size(), 1, "%s", value);
  }
  const auto mixed = dialect.parse_notice(200, {{"Server-Limit", "soon"}, {"Server-Limit", "2"}});
  cr_assert_eq(mixed.notice.limit, 2.0);
}

Test(platform_dialect, parses_draining_from_a_report) {
  const PlatformDialect dialect;
  const auto draining = [&](const char* extra_fields) {
    const std::string body = std::string(R"({"stage":"decode","sequence":2)") + extra_fields + "}";
    return dialect.parse_report(body).value().draining;
  };
  cr_assert(draining(R"(,"state":"draining")"));
  cr_assert_not(draining(R"(,"state":"ready")"));
  cr_assert_not(draining(""));
}

Test(platform_dialect, parses_prompts_load_and_refusals) {
  const PlatformDialect dialect;
  const auto prompt =
      dialect.parse_prompt({{"X-Model", "m"},
                            {"X-Token-Counts", "1460,80"},
                            {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}});
  cr_assert(prompt.has_value());
  cr_assert_eq(prompt->prompt_tokens, 1460);
  cr_assert_eq(*prompt->shared_part(), 0x91bd3f06);
  cr_assert_not(dialect.parse_prompt({{"X-Model", "m"}, {"X-Token-Counts", "many"}}).has_value());
  cr_assert_eq(dialect.parse_load({{"X-Server-Load", "3,1,8"}})->waiting, 1);
  cr_assert_not(dialect.parse_load({{"X-Server-Load", "3,-1,8"}}).has_value());
  cr_assert(dialect.is_refusal(503, {{"X-Not-Executed", "1"}}));
  cr_assert(dialect.is_refusal(421, {}));
  cr_assert_not(dialect.is_refusal(503, {}));
}

// Guards against taking an answer of an engine that ran the request for a refusal, as it bears the
// mark of one beside a status that says the opposite.
Test(platform_dialect, takes_the_mark_of_a_refusal_only_with_a_status_of_one) {
  const PlatformDialect dialect;
  const HttpHeaders mark = {{"X-Not-Executed", "1"}};
  for (const int status : {400, 408, 421, 429, 503}) cr_assert(dialect.is_refusal(status, mark));
  for (const int status : {200, 204, 404, 500, 502, 504}) {
    cr_assert_not(dialect.is_refusal(status, mark), "%d", status);
  }
}

// Engines that share their machines add a field to their load, and later versions may add more.
Test(platform_dialect, parses_load_with_additional_fields) {
  const PlatformDialect dialect;
  const auto load = dialect.parse_load({{"X-Server-Load", "3, 1, 8, 250"}});
  cr_assert(load.has_value());
  cr_assert_eq(load->running, 3);
  cr_assert_eq(load->waiting, 1);
  cr_assert_eq(load->slots, 8);
  cr_assert_eq(load->slowdown, 250);
  const auto slowdown_of = [&](const std::string& fourth) {
    return dialect.parse_load({{"X-Server-Load", "3,1,8" + fourth}})->slowdown;
  };
  cr_assert_eq(slowdown_of(""), 0);
  cr_assert_eq(slowdown_of(",112.6"), 113);
  cr_assert_eq(slowdown_of(",1"), 20, "bounded");
  cr_assert_eq(slowdown_of(",99999999999"), 500, "bounded");
  for (const char* malformed : {",0", ",-5", ",fast", ",nan", ","}) {
    cr_assert_eq(slowdown_of(malformed), 0, "%s", malformed);
  }
  cr_assert(dialect.parse_load({{"X-Server-Load", "3,1,8,250,x"}}).has_value());
  cr_assert(dialect.parse_load({{"X-Server-Load", "3,1,8,fast"}}).has_value());
  cr_assert_not(dialect.parse_load({{"X-Server-Load", "3,1"}}).has_value());
}

Test(platform_store, lists_all_pages_and_maps_status_codes) {
  ScriptedHttpClient http;
  StoreClient client(http, "10.0.0.1:1");
  tl::expected<store::ObjectList, store::StoreError> listed;
  client.list("servers", store::Freshness::kLatest, 1s,
              [&](auto result) { listed = std::move(result); });
  http.answer(0, 200, {},
              R"({"items":[{"meta":{"name":"a","revision":3},"spec":{}}],"more":true,"at":9})");
  cr_assert_eq(http.at(1).request.url, "http://10.0.0.1:1/v1/objects/servers?after=a");
  http.answer(1, 200, {},
              R"({"items":[{"meta":{"name":"b","revision":4},"spec":{}}],"more":false,"at":11})");
  cr_assert_eq(listed->objects.size(), 2);
  cr_assert_eq(listed->revision, 9, "the list has the revision of its oldest page");

  const std::pair<int, store::StoreError> cases[] = {{409, store::StoreError::kConflict},
                                                     {404, store::StoreError::kMissing},
                                                     {410, store::StoreError::kHistoryGone},
                                                     {429, store::StoreError::kNotDone},
                                                     {503, store::StoreError::kNotDone}};
  for (const auto& [status, expected] : cases) {
    tl::expected<store::ChangeBatch, store::StoreError> batch;
    client.watch("servers", 9, store::Freshness::kLatest, 1s, 2s,
                 [&](auto result) { batch = std::move(result); });
    http.answer(http.count() - 1, status, {}, "{}");
    cr_assert_eq(static_cast<int>(batch.error()), static_cast<int>(expected));
  }
  tl::expected<store::StoredObject, store::StoreError> written;
  client.replace("k", "n", 4, {}, 1s, [&](auto result) { written = std::move(result); });
  http.fail(http.count() - 1, TransferFailure::kUncertain);
  cr_assert_eq(static_cast<int>(written.error()), static_cast<int>(store::StoreError::kUncertain));
}

Test(load_message, round_trips_and_handles_arbitrary_bytes) {
  LoadMessage message;
  message.node = NodeId("n");
  message.boot = 1ULL << 50U;
  message.load[EngineId("e")] = {3, 4000};
  message.reads = {{EngineId("e"), {{1ULL << 63U, 12}}}};
  const auto back = decode_load_message(encode(message));
  cr_assert(back.has_value());
  cr_assert_eq(back->reads.at(0).parts.at(0).id, 1ULL << 63U);
  cr_assert_eq(back->load.at(EngineId("e")).prefill_tokens, 4000);
  SHUNTBANK_PROPERTY("arbitrary bytes are decoded or rejected without a crash", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    decode_load_message(bytes);
  });
}
