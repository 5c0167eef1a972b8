#include "records/Schema.h"

#include <algorithm>

namespace psp::records {

std::uint32_t latestSchemaVersion(const messages::Configuration &Current,
                                  const std::string &Name) {
  std::uint32_t Highest = 0;
  for (const auto &Schema : Current.schemas()) {
    if (Schema.name() == Name)
      Highest = std::max(Highest, Schema.version());
  }
  return Highest;
}

const messages::RecordSchema *findSchema(const messages::Configuration &Current,
                                         const std::string &Name,
                                         std::uint32_t Version) {
  for (const auto &Schema : Current.schemas()) {
    if (Schema.name() == Name && Schema.version() == Version)
      return &Schema;
  }
  return nullptr;
}

std::vector<std::string>
findBreakingSchemaChanges(const messages::Configuration &Current,
                          const messages::Configuration &Next) {
  std::vector<std::string> BreakingChanges;
  for (const auto &OldSchema : Current.schemas()) {
    const std::string SchemaTitle = "schema " + OldSchema.name() + " version " +
                                    std::to_string(OldSchema.version());
    const auto *NewSchema =
        findSchema(Next, OldSchema.name(), OldSchema.version());
    if (NewSchema == nullptr)
      BreakingChanges.push_back(SchemaTitle +
                                " can't be removed because records may exist "
                                "that were written under it");
    else if (NewSchema->SerializeAsString() != OldSchema.SerializeAsString())
      BreakingChanges.push_back(
          SchemaTitle + " can't be changed because records may exist that were "
                        "written under it; add another version");
  }
  return BreakingChanges;
}

} // namespace psp::records
