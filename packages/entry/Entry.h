#pragma once

#include "entry/src/EntrySettings.h"

#include "entry/src/Translator.h"

#include "entry/src/StateSink.h"

#include "entry/src/Directory.h"

#include "entry/src/EntryNode.h"
