/// @file
/// A node's copy of the configuration. Revisions only grow.
#pragma once

#include <memory>
#include <tl/expected.hpp>

#include "common/findings.hpp"
#include "config/document.hpp"
#include "config/snapshot.hpp"

namespace shuntbank {

/// What became of an offered document.
enum class OfferResult {
  kAdopted,
  kNotNewer,     ///< Not newer than what is held: nothing changes.
  kBaseMissing,  ///< Changes since a revision that is not held: ask for more.
  kInvalid,      ///< Fails the check as a whole: nothing changes.
};

/// Holds the newest known document and the snapshot that requests are served under.
class ConfigReplica {
 public:
  /// Takes over a whole document when it is newer.
  OfferResult offer(const ConfigDocument& document);

  /// Takes over the changes since `base` when that joins up with what is held.
  OfferResult offer_changes(Revision base, const ConfigDocument& changes);

  Revision revision() const { return document_.revision; }
  const ConfigDocument& document() const { return document_; }

  /// @return the snapshot to serve under; null until the first document was adopted.
  const SnapshotPointer& snapshot() const { return snapshot_; }

  /// @return the findings of the last invalid offer.
  const Findings& findings() const { return findings_; }

 private:
  OfferResult adopt(ConfigDocument document);

  ConfigDocument document_;
  SnapshotPointer snapshot_;
  Findings findings_;
};

}  // namespace shuntbank
