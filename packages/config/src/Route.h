#pragma once

#include "base/Base.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnmux::config {

enum class HttpMethod : std::uint8_t
{
  Get,
  Head,
  Post,
  Put,
  Patch,
  Delete
};

/** \returns the method as it stands in a request, e.g. "GET". */
const char* MethodName(HttpMethod aMethod);

using base::WorkClass;
using base::WorkKind;

/** \returns the name in a service file: "idempotent" or "once". */
const char* WorkKindName(WorkKind aKind);
/** \returns the name in a service file: "short" or "long". */
const char* WorkClassName(WorkClass aClass);

/** How a service treats the requests below a path prefix. */
struct Route
{
  /** Starts with '/'; matches whole path segments. */
  std::string mPath;
  /** In the order of HttpMethod, without doubles. */
  std::vector<HttpMethod> mMethods;
  WorkKind mWork = WorkKind::NonIdempotent;
  WorkClass mClass = WorkClass::Short;
  /** Used when the caller sends no Request-Deadline-Ms. */
  std::chrono::milliseconds mDeadline{ 2'000 };
  base::ByteCount mMaxBody;
  /** Where its file defines it; not part of a snapshot. */
  base::Place mPlace;

  bool HasMethod(HttpMethod aMethod) const;
  /** \returns whether the path of a request (without query) is below mPath. */
  bool MatchesPath(std::string_view aPath) const;
};

} // namespace auburnmux::config
