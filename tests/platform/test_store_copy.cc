#include <criterion/criterion.h>

#include "platform/store_client.h"
#include "platform/store_copy.h"

using namespace limpetlever;
using platform::DecodePage;
using platform::store_copy;

namespace {

constexpr std::size_t kPageItems = 500;
constexpr std::size_t kHistoryBytes = 1024 * 1024;

}  // namespace

// Guards against a relay that sends a follower every version of a large configuration, of which the
// follower needs only the last one.
Test(store_copy, a_reader_gets_only_the_last_change_of_a_key) {
  store_copy copy(store_copy::history_type::last_of_key, kPageItems, kHistoryBytes);
  copy.Apply({.key = "config", .value = "1", .revision = 1});
  copy.SetRevision(1);
  for (std::int64_t revision = 2; revision <= 10; ++revision) {
    copy.Apply({.key = "config", .value = std::to_string(revision), .revision = revision});
    copy.Apply({.key = "other", .revision = revision, .is_removed = revision % 2 == 1});
  }
  copy.SetRevision(10);
  const auto page = DecodePage(copy.EncodeChanges("", 1).value());
  cr_assert(page && page->items.size() == 2 && page->revision == 10);
  cr_assert(page->items[0].key == "config" && page->items[0].value == "10");
  cr_assert(page->items[1].key == "other" && !page->items[1].is_removed);
}

// Guards against followers that read everything again, since versions that are already replaced
// have filled the history.
Test(store_copy, replaced_versions_do_not_shorten_the_history) {
  store_copy copy(store_copy::history_type::last_of_key, kPageItems, kHistoryBytes);
  copy.Apply({.key = "other", .value = "1", .revision = 1});
  for (std::int64_t revision = 2; revision <= 20; ++revision) {
    copy.Apply({.key = "config", .value = std::string(300 * 1024, 'x'), .revision = revision});
  }
  copy.SetRevision(20);
  cr_assert(copy.HasHistorySince(0));
  const auto page = DecodePage(copy.EncodeChanges("", 0).value());
  cr_assert(page && page->items.size() == 2);
}

// Guards against a change that a follower never gets: the page of changes ended within a revision,
// and the next one began after it.
Test(store_copy, a_revision_is_not_split_over_two_pages) {
  store_copy copy(store_copy::history_type::last_of_key, kPageItems, kHistoryBytes);
  constexpr int kKeysOfOneRevision = 7;
  constexpr int kKeys = 1505;
  for (int i = 0; i < kKeys; ++i) {
    copy.Apply({.key = "key" + std::to_string(i), .revision = 1 + i / kKeysOfOneRevision});
  }
  copy.SetRevision(1 + kKeys / kKeysOfOneRevision);
  std::size_t read = 0;
  std::int64_t revision = 0;
  while (const auto changes = copy.EncodeChanges("", revision)) {
    const auto page = DecodePage(*changes);
    read += page->items.size();
    revision = page->revision;
  }
  cr_assert(read == kKeys, "%zu of %d changes were read", read, kKeys);
}

// Guards against a relay that serves an older version to a host that has just started: the watch of
// the relay begins before the load and reports changes that the load already contains.
Test(store_copy, an_older_change_does_not_replace_a_newer_item) {
  store_copy copy(store_copy::history_type::last_of_key, kPageItems, kHistoryBytes);
  copy.Apply({.key = "config", .value = "new", .revision = 9});
  copy.SetRevision(7);
  copy.DropHistory();
  copy.Apply({.key = "config", .value = "old", .revision = 8});
  copy.SetRevision(8);
  const auto page = DecodePage(copy.EncodeRange("", ""));
  cr_assert(page && page->items.size() == 1 && page->items[0].value == "new");
  copy.Apply({.key = "config", .revision = 8, .is_removed = true});
  cr_assert(copy.items().contains("config"));
  copy.Apply({.key = "config", .value = "new", .revision = 9});
  copy.SetRevision(9);
  const auto changes = DecodePage(copy.EncodeChanges("", 7).value());
  cr_assert(changes && changes->items.size() == 1 && changes->items[0].value == "new");
}
