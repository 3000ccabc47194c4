#include "config/src/Route.h"

#include <algorithm>

namespace auburnmux::config {

const char* MethodName(HttpMethod aMethod)
{
  switch (aMethod) {
    case HttpMethod::Get:
      return "GET";
    case HttpMethod::Head:
      return "HEAD";
    case HttpMethod::Post:
      return "POST";
    case HttpMethod::Put:
      return "PUT";
    case HttpMethod::Patch:
      return "PATCH";
    case HttpMethod::Delete:
      return "DELETE";
  }
  return "";
}

const char* WorkKindName(WorkKind aKind)
{
  return aKind == WorkKind::Idempotent ? "idempotent" : "once";
}

const char* WorkClassName(WorkClass aClass)
{
  return aClass == WorkClass::Short ? "short" : "long";
}

bool Route::HasMethod(HttpMethod aMethod) const
{
  return std::find(mMethods.begin(), mMethods.end(), aMethod) != mMethods.end();
}

bool Route::MatchesPath(std::string_view aPath) const
{
  if (aPath.substr(0, mPath.size()) != mPath) {
    return false;
  }
  return mPath.empty() || mPath.back() == '/' || aPath.size() == mPath.size() ||
         aPath[mPath.size()] == '/';
}

} // namespace auburnmux::config
