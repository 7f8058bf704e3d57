package org.wigeonwharf.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Checks the number, sizes and names of the files of a publication before they are parsed. */
final class PublicationLimits {
  /** Maximum number of files in a publication. */
  static final int MAX_FILES = 1_000;

  /** Maximum total size of the files in bytes: a peer message carries a whole publication. */
  static final long MAX_TOTAL_BYTES = 8L * 1024 * 1024;

  private static final String FOLDER = "folder";

  private PublicationLimits() {}

  static List<Fault> check(List<SettingsFile> files) {
    List<Fault> faults = new ArrayList<>();
    if (files.isEmpty()) {
      faults.add(new Fault(FOLDER, "-", "contains no " + SettingsFolder.SUFFIX + " file"));
    }
    if (files.size() > MAX_FILES) {
      faults.add(new Fault(FOLDER, "-", "contains more than " + MAX_FILES + " files"));
    }
    long total = 0;
    Set<String> names = new HashSet<>();
    for (SettingsFile f : files) {
      int length = f.bytes().length;
      total += length;
      if (length > SettingsFile.MAX_BYTES) {
        faults.add(new Fault(f.name(), "-", "is larger than " + SettingsFile.MAX_BYTES + " bytes"));
      }
      if (!names.add(f.name())) {
        faults.add(new Fault(f.name(), "-", "appears more than once"));
      }
    }
    if (total > MAX_TOTAL_BYTES) {
      faults.add(new Fault(FOLDER, "-", "is larger than " + MAX_TOTAL_BYTES + " bytes in total"));
    }
    return faults;
  }
}
