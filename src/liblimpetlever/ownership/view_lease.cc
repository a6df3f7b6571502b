#include "ownership/view_lease.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace limpetlever {

view_lease::view_lease(std::string name, std::int64_t incarnation, lease_limits limits)
    : name_(std::move(name)), incarnation_(incarnation), limits_(limits) {}

bool view_lease::Adopt(const ownership_view& view) {
  if (view.epoch <= view_.epoch) {
    return false;
  }
  view_ = view;
  newest_epoch_ = std::max(newest_epoch_, view.epoch);
  attested_at_.clear();
  return true;
}

void view_lease::SetTableVersion(std::int64_t version) {
  table_version_ = std::max(table_version_, version);
}

void view_lease::RecordConfirmation(std::int64_t epoch, std::int64_t table_version, instant at) {
  newest_epoch_ = std::max(newest_epoch_, epoch);
  if (table_version > table_version_) {
    return;  // The newer table, which this host lacks, may take its data centre out.
  }
  if (epoch > confirmed_epoch_) {
    confirmed_epoch_ = epoch;
    confirmed_at_ = at;
  } else if (epoch == confirmed_epoch_) {
    confirmed_at_ = std::max(confirmed_at_, at);
  }
}

void view_lease::OnRead(std::int64_t epoch, std::int64_t table_version, instant sent) {
  RecordConfirmation(epoch, table_version, sent);
}

void view_lease::OnReport(const std::string& from,
                          std::int64_t incarnation,
                          const view_report& report,
                          instant sent) {
  newest_epoch_ = std::max(newest_epoch_, report.epoch);
  if (report.confirmation_age && *report.confirmation_age >= duration::zero()) {
    RecordConfirmation(report.epoch, report.table_version,
                       sent - WithClockMargin(*report.confirmation_age));
  }
  // A restarted member does not know which epochs it closed, so only the incarnation in the view
  // may attest.
  if (report.attests && report.epoch == view_.epoch && report.table_version <= table_version_ &&
      IsMember(from, incarnation)) {
    const auto [known, is_new] = attested_at_.try_emplace(from, sent);
    known->second = std::max(known->second, sent);
  }
}

void view_lease::CloseEpoch(std::int64_t epoch) {
  closed_epoch_ = std::max(closed_epoch_, epoch);
}

bool view_lease::IsMember(const std::string& name, std::int64_t incarnation) const {
  const auto found =
      std::lower_bound(view_.members.begin(), view_.members.end(), name,
                       [](const view_member& m, const std::string& key) { return m.name < key; });
  return found != view_.members.end() && found->name == name && found->incarnation == incarnation;
}

bool view_lease::Attests() const {
  return view_.epoch > closed_epoch_ && view_.epoch >= newest_epoch_ &&
         IsMember(name_, incarnation_);
}

view_report view_lease::Report(instant now) const {
  view_report report{.epoch = view_.epoch,
                     .attests = Attests(),
                     .table_version = table_version_,
                     .confirmation_age = {}};
  if (confirmed_epoch_ == view_.epoch && view_.epoch > 0) {
    report.confirmation_age = now - confirmed_at_;
  }
  return report;
}

std::optional<instant> view_lease::MajorityAttestedAt(instant now) const {
  std::vector<instant> times;
  for (const auto& [name, sent] : attested_at_) {
    if (name != name_) {
      times.push_back(sent);
    }
  }
  if (Attests()) {
    times.push_back(now);
  }
  const std::size_t majority = view_.members.size() / 2 + 1;
  if (times.size() < majority) {
    return std::nullopt;
  }
  // The oldest attestation of the newest majority. At least half of the members close an epoch
  // before its successor is committed, so every majority contains one of those, which attested
  // before it closed the epoch.
  std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(majority - 1),
                   times.end(), std::greater<>());
  return times[majority - 1];
}

std::optional<instant> view_lease::FreshUntil(instant now) const {
  if (!IsMember(name_, incarnation_)) {
    return std::nullopt;
  }
  std::optional<instant> confirmed = MajorityAttestedAt(now);
  if (confirmed_epoch_ == view_.epoch && (!confirmed || confirmed_at_ > *confirmed)) {
    confirmed = confirmed_at_;
  }
  if (!confirmed || now - *confirmed >= limits_.lease_duration) {
    return std::nullopt;
  }
  return *confirmed + limits_.lease_duration;
}

bool view_lease::MayDispatch(instant now) const {
  return FreshUntil(now).has_value();
}

}  // namespace limpetlever
