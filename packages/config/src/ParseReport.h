#pragma once

#include "base/Base.h"

namespace auburnmux::config {

/** What the parse functions found in one or more files. */
struct ParseReport
{
  /** Any of these stops a start or a publish. */
  base::Findings mErrors;
  /** Told to the operator; they stop nothing. */
  base::Findings mWarnings;

  bool IsGood() const { return mErrors.IsEmpty(); }
};

} // namespace auburnmux::config
