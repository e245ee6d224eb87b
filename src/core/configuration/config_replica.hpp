/// @file
/// A node's copy of the configuration. Its revision never decreases.
#pragma once

#include <memory>
#include <tl/expected.hpp>

#include "common/findings.hpp"
#include "config/document.hpp"
#include "config/snapshot.hpp"

namespace shuntbank {

/// Outcome of an offered document.
enum class OfferResult {
  kAdopted,
  kNotNewer,     ///< Not newer than the held revision: nothing changes.
  kBaseMissing,  ///< The changes start after the held revision: earlier ones are needed.
  kInvalid,      ///< Fails validation: nothing changes.
};

/// Holds the newest known document and the snapshot for serving requests.
class ConfigReplica {
 public:
  /// Adopts a full document when it is newer.
  OfferResult offer(const ConfigDocument& document);

  /// Applies the changes since `base` when the held revision is at least `base`.
  OfferResult offer_changes(Revision base, const ConfigDocument& changes);

  Revision revision() const { return document_.revision; }
  const ConfigDocument& document() const { return document_; }

  /// @return the snapshot for serving; null until a document was adopted.
  const SnapshotPointer& snapshot() const { return snapshot_; }

  /// @return the validation findings of the last invalid offer.
  const Findings& findings() const { return findings_; }

 private:
  OfferResult adopt(ConfigDocument document);

  ConfigDocument document_;
  SnapshotPointer snapshot_;
  Findings findings_;
};

}  // namespace shuntbank
