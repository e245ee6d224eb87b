// Guards against a removal that takes a record which has been written again.
#include "platform/store_client.hpp"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <optional>

#include "net/http1_client.hpp"
#include "platform/support/store_standin.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

using Removal = tl::expected<void, store::StoreError>;

struct Site {
  Removal remove(std::uint64_t revision) {
    std::optional<Removal> result;
    this->client.remove("things", "one", revision, 1s,
                        [&result](const Removal& outcome) { result = outcome; });
    while (!result) this->loop.run_one();
    return *result;
  }

  std::uint64_t revision() {
    std::uint64_t revision = 0;
    this->client.read("things", "one", 1s,
                      [&revision](const auto& object) { revision = object->revision; });
    while (revision == 0) this->loop.run_one();
    return revision;
  }

  asio::io_context loop;
  StoreStandin store{this->loop};
  PooledHttpClient http{this->loop, {}};
  platform_adapter::StoreClient client{this->http,
                                       "127.0.0.1:" + std::to_string(store.endpoint().port())};
};

}  // namespace

Test(store_client, removes_an_object_only_at_its_revision) {
  Site site;
  site.store.put("things", "one", {{"value", 1}});
  const std::uint64_t before = site.revision();
  site.store.put("things", "one", {{"value", 2}});
  cr_assert_eq(site.remove(before).error(), store::StoreError::kConflict);
  cr_assert_eq(site.store.names("things").size(), 1);
  cr_assert(site.remove(site.revision()).has_value());
  cr_assert(site.store.names("things").empty());
  cr_assert_eq(site.remove(before).error(), store::StoreError::kMissing);
}

// Guards against an exception that ends the process: a text of another node that is no UTF-8.
Test(store_client, writes_a_text_that_is_no_utf_8) {
  Site site;
  std::optional<bool> written;
  site.client.create("things", "one", {{"text", "a\xff"}}, 1s,
                     [&written](const auto& object) { written = object.has_value(); });
  while (!written) site.loop.run_one();
  cr_assert(*written);
}
