#pragma once

#include "upstreams/src/UpstreamRecord.h"

#include "upstreams/src/UpstreamEvent.h"

#include "upstreams/src/UpstreamBook.h"
