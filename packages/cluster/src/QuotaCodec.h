#pragma once

#include "protocol/Protocol.h"
#include "quotas/Quotas.h"

#include <optional>

namespace auburnmux::cluster {

/** \returns the message `QuotaReport` for \a aReport. */
protocol::Envelope ToQuotaReport(const quotas::Report& aReport);
/** \returns the message `QuotaGrant` for \a aGrant. */
protocol::Envelope ToQuotaGrant(const quotas::Grant& aGrant);

/** \returns the content, or nothing if it breaks a bound. */
std::optional<quotas::Report> FromWire(const protocol::QuotaReport& aMessage);
std::optional<quotas::Grant> FromWire(const protocol::QuotaGrant& aMessage);

} // namespace auburnmux::cluster
