#include "records/Schema.h"

#include <algorithm>

namespace psp::records {

std::uint32_t schemaVersionInForce(const messages::Configuration &Current,
                                   const std::string &Name) {
  std::uint32_t Highest = 0;
  for (const auto &Each : Current.schemas()) {
    if (Each.name() == Name)
      Highest = std::max(Highest, Each.version());
  }
  return Highest;
}

const messages::RecordSchema *findSchema(const messages::Configuration &Current,
                                         const std::string &Name,
                                         std::uint32_t Version) {
  for (const auto &Each : Current.schemas()) {
    if (Each.name() == Name && Each.version() == Version)
      return &Each;
  }
  return nullptr;
}

std::vector<std::string>
findBrokenSchemas(const messages::Configuration &Current,
                  const messages::Configuration &Next) {
  std::vector<std::string> Broken;
  for (const auto &Old : Current.schemas()) {
    const std::string Title =
        "schema " + Old.name() + " version " + std::to_string(Old.version());
    const auto *New = findSchema(Next, Old.name(), Old.version());
    if (New == nullptr)
      Broken.push_back(Title + " is in force and may not be removed");
    else if (New->SerializeAsString() != Old.SerializeAsString())
      Broken.push_back(Title + " is in force and may not be changed; add "
                               "another version");
  }
  return Broken;
}

} // namespace psp::records
