#ifndef LIMPETLEVER_OWNERSHIP_VIEW_LEASE_H_
#define LIMPETLEVER_OWNERSHIP_VIEW_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time_types.h"
#include "ownership/lease_limits.h"
#include "ownership/ownership_view.h"
#include "ownership/view_report.h"

namespace limpetlever {

/**
 * The lease under which this host may use its ownership view. The view is fresh for
 * `lease_duration` after the key-value service confirmed it, or after a majority of its members
 * attested it, that is, stated that they know no newer view and have not closed this one. All
 * instants are by this host's clock. A lease counts from when the request was sent, so that a
 * delayed answer does not prolong it.
 */
class view_lease {
 public:
  /** `name` and `incarnation` are those of this process. */
  view_lease(std::string name, std::int64_t incarnation, lease_limits limits = {});

  /**
   * Adopts a view if its epoch is above the current one; returns whether it did. Attestations of
   * the previous view do not count for it.
   */
  bool Adopt(const ownership_view& view);

  /**
   * Records that this host holds this version of the operator table. The lease covers the table
   * too: it is not renewed by a confirmation that names a newer version.
   */
  void SetTableVersion(std::int64_t version);

  /**
   * This host read the epoch and the table version from the key-value service; `sent` is when the
   * earlier of the two requests was sent.
   */
  void OnRead(std::int64_t epoch, std::int64_t table_version, instant sent);

  /** Host `from` answered a request that was sent at `sent`. */
  void OnReport(const std::string& from,
                std::int64_t incarnation,
                const view_report& report,
                instant sent);

  /**
   * Closes all epochs up to `epoch`: this host no longer attests them. CloseEpoch can then be
   * answered with true.
   */
  void CloseEpoch(std::int64_t epoch);

  /** This host's answer when another one asks about its view. */
  view_report Report(instant now) const;

  /** Whether this host may send new work: it is a member and its view is fresh. */
  bool MayDispatch(instant now) const;

  /** When MayDispatch becomes false unless the lease is renewed; nullopt if it is false now. */
  std::optional<instant> FreshUntil(instant now) const;

  /** Greatest epoch that is known from any source. If it is above view().epoch, fetch that view. */
  std::int64_t newest_epoch() const { return newest_epoch_; }
  const ownership_view& view() const { return view_; }

 private:
  bool IsMember(const std::string& name, std::int64_t incarnation) const;
  bool Attests() const;
  std::optional<instant> MajorityAttestedAt(instant now) const;
  void RecordConfirmation(std::int64_t epoch, std::int64_t table_version, instant at);

  std::string name_;
  std::int64_t incarnation_;
  lease_limits limits_;
  ownership_view view_;
  std::int64_t newest_epoch_ = 0;
  std::int64_t closed_epoch_ = 0;
  // The newest confirmation by the key-value service. It may arrive before the view itself.
  std::int64_t confirmed_epoch_ = 0;
  instant confirmed_at_;
  std::int64_t table_version_ = 0;
  // By member: when the newest request that it answered with an attestation of view_ was sent.
  std::map<std::string, instant> attested_at_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_OWNERSHIP_VIEW_LEASE_H_
