// The file of a program that runs, read again: checked as a whole, then taken as a whole.
#ifndef MILLETHOLLOW_CONFIG_RELOAD_H_
#define MILLETHOLLOW_CONFIG_RELOAD_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"

namespace millethollow {

// Is the text whole, by the one that is in use? Each key that this has must be there, in each class
// and tenant too. An operator's own conveniences (log level, Gearman) may be left out.
bool CheckNoKeyMissing(std::string_view used, std::string_view fresh, std::string* error);

// A class has a stable index. One of a new name or of other rules gets an index of its own: the
// first that no open job holds, or a further one. What has no class any more is not `live`.
struct ClassChanges {
  std::vector<int> reassigned;  // indices that mean another class from now on
};
ClassChanges MergeClasses(const Config& fresh, const std::function<bool(int)>& in_use,
                          Config* config);

// Takes over what can change under load: the settings, discovery, the list of known workers, the
// log level and Gearman's functions; all else waits for a restart. False, with one clear line, if
// the new file can't be used: then `config` stays as it was.
bool ReloadConfig(const std::string& path, const std::function<bool(int)>& in_use, Config* config,
                  ClassChanges* changes, std::string* error);

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_RELOAD_H_
